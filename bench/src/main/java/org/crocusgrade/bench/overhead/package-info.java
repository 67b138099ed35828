/** What the request path costs over a bare pass-through that is built from the same parts. */
package org.crocusgrade.bench.overhead;
