/** Callers whose queues peak in turns, and what they were told. */
package org.crocusgrade.standin.load;
