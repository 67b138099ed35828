/** Which worker serves which pool: demand learned from digests, and moves weighed by their cost. */
package org.crocusgrade.core.fleet.plan;
