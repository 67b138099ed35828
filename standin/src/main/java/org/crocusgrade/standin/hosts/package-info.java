/** State and injected faults of the stand-in for the platform's host list and host control. */
package org.crocusgrade.standin.hosts;
