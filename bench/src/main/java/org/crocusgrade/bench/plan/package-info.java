/** Feeds demand traces to planners under a clock of its own, and scores what they decide. */
package org.crocusgrade.bench.plan;
