/** Listeners of a relay node: entry, peers, admin, control and links. */
import { type IncomingMessage, type RequestListener, type Server as HttpServer, type ServerResponse } from "node:http";
import { type Server } from "node:net";
import { closeGraceMs } from "../constants";
import { closeListener, openListener } from "../tasks/_lib/openListener";
import { deriveControlAddress, deriveLinkAddress } from "./_lib/deriveAddresses";
import { type LinkServerDependencies, openLinkListener } from "./link/linkServer";
import { type RelaySettings } from "./types";

/** Request handlers of the HTTP listeners, and what the link listener needs to serve requests. */
export interface RelayHandlers {
    readonly onEntry: (request: IncomingMessage, response: ServerResponse) => void;
    readonly onPeer: (request: IncomingMessage, response: ServerResponse) => void;
    readonly onAdmin: RequestListener;
    readonly onControl: RequestListener;
    readonly linkDependencies: LinkServerDependencies;
}

/**
 * Maximum size of the headers of a request at the entry, in bytes. It is several times the limit that routing tables
 * set, because no table is known yet when the listener opens.
 */
const maxEntryHeaderBytes = 64 * 1024;

/** Time before the connections are closed at which requests without an answer get one, in milliseconds. */
const expiryMarginMs = 150;

/** Opens and closes the listeners of a node. */
export class RelayListeners {
    private constructor(private readonly httpServers: readonly HttpServer[], private readonly linkServer: Server) {}

    /** Opens all listeners at the addresses of the settings; rejects if an address is in use. */
    static async open({ entry, peers, admin }: RelaySettings, handlers: RelayHandlers): Promise<RelayListeners> {
        const httpServers = await Promise.all([
            openListener(entry, handlers.onEntry, maxEntryHeaderBytes),
            openListener(peers, handlers.onPeer),
            openListener(admin, handlers.onAdmin),
            openListener(deriveControlAddress(peers), handlers.onControl),
        ]);
        return new RelayListeners(
            httpServers,
            await openLinkListener(deriveLinkAddress(peers), handlers.linkDependencies),
        );
    }

    /**
     * Closes the listeners, and all connections within `closeGraceMs`. Calls `expirePending` shortly before, so that
     * requests without an answer get one.
     */
    async close(expirePending: () => void): Promise<void> {
        this.linkServer.close();
        setTimeout(expirePending, closeGraceMs - expiryMarginMs).unref();
        await Promise.all(this.httpServers.map(closeListener));
    }
}
