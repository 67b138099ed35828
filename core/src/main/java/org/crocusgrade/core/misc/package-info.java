/** Utilities shared by several packages: addresses, names and the JSON of stored records. */
package org.crocusgrade.core.misc;
