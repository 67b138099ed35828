/** Small helpers that several subjects share. */
package org.crocusgrade.core.misc;
