/** A load of callers whose services peak one after the other, and the records of their calls. */
package org.crocusgrade.standin.load;
