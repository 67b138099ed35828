package org.crocusgrade.cli;

import java.net.InetSocketAddress;

/** Opens the platform at an address. */
public interface PlatformFactory {
    /** Opens it; nothing is sent yet. */
    PlatformAccess open(InetSocketAddress address);
}
