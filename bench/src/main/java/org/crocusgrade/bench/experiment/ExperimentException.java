package org.crocusgrade.bench.experiment;

/** Thrown when an experiment cannot be run or its results cannot be written. */
public final class ExperimentException extends Exception {
    public ExperimentException(String message, Throwable cause) {
        super(message, cause);
    }
}
