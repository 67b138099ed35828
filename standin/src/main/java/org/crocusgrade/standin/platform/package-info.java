/** State, call counts and injected faults of the stand-in for the platform's key-value service. */
package org.crocusgrade.standin.platform;
