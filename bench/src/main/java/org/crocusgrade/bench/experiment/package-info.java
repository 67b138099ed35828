/**
 * Experiments of bounded length, each of which measures the system and a baseline in the same run.
 */
package org.crocusgrade.bench.experiment;
