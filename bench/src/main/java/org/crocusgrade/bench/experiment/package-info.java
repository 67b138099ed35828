/** Bounded experiments, each of which measures the project beside a baseline in one run. */
package org.crocusgrade.bench.experiment;
