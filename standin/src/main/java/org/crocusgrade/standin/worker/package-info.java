/** Request tracking, response bodies and injected faults of a stand-in worker. */
package org.crocusgrade.standin.worker;
