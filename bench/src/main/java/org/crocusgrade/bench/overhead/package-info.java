/** The cost of the request path over that of a bare proxy built on the same libraries. */
package org.crocusgrade.bench.overhead;
