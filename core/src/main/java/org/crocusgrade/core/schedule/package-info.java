/**
 * Decides which task of a pool runs where and when. Pure code for one thread: what workers and
 * callers say goes in with the time, orders come out; nothing here reads a clock or a socket.
 */
package org.crocusgrade.core.schedule;
