package org.crocusgrade.bench.experiment;

/** An experiment that could not be carried out. */
public final class ExperimentException extends Exception {
    /** Makes an exception with the failure below it. */
    public ExperimentException(String message, Throwable cause) {
        super(message, cause);
    }
}
