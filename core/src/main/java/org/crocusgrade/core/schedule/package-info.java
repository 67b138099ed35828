/**
 * Decides which task of a pool runs where and when. Single-threaded code without I/O: the time and
 * the messages of workers and callers are passed in, and orders are returned.
 */
package org.crocusgrade.core.schedule;
