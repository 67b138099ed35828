/** Workers, pools, ownership, and moves of workers between pools. */
package org.crocusgrade.core.fleet;
