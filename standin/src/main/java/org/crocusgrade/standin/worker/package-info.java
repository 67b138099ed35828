/** What a stand-in worker keeps of the requests that it was sent, and how it can fail. */
package org.crocusgrade.standin.worker;
