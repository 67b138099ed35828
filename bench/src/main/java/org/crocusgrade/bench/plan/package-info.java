/** Simulates planners on demand traces and scores their decisions. */
package org.crocusgrade.bench.plan;
