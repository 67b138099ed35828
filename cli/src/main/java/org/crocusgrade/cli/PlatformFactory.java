package org.crocusgrade.cli;

import java.net.InetSocketAddress;

/** Creates the access to a platform. */
public interface PlatformFactory {
    /** Opens access to the platform at an address, without sending anything yet. */
    PlatformAccess open(InetSocketAddress address);
}
