/** The decisions of the request path on seeded schedules, without sockets or threads. */
package org.crocusgrade.bench.dispatch;
