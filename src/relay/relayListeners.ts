/** The listeners of a relay node. */
import { type IncomingMessage, type RequestListener, type Server as HttpServer, type ServerResponse } from "node:http";
import { type Server } from "node:net";
import { closeListener, openListener } from "../tasks/_lib/openListener";
import { deriveControlAddress, deriveLinkAddress } from "./_lib/deriveAddresses";
import { type LinkServerDependencies, openLinkListener } from "./link/linkServer";
import { type RelaySettings } from "./types";

/** Who takes what arrives. */
export interface RelayHandlers {
    readonly onEntry: (request: IncomingMessage, response: ServerResponse) => void;
    readonly onPeer: (request: IncomingMessage, response: ServerResponse) => void;
    readonly onAdmin: RequestListener;
    readonly onControl: RequestListener;
    readonly links: LinkServerDependencies;
}

/** Bound on the headers of a request, in bytes; several times what routing tables allow, which is known only later. */
const maxEntryHeaderBytes = 64 * 1024;

/** Owns the listeners. */
export class RelayListeners {
    private constructor(private readonly servers: readonly HttpServer[], private readonly links: Server) {}

    /** Opens all listeners at the addresses of the settings. */
    static async open({ entry, peers, admin }: RelaySettings, handlers: RelayHandlers): Promise<RelayListeners> {
        const servers = await Promise.all([
            openListener(entry, handlers.onEntry, maxEntryHeaderBytes),
            openListener(peers, handlers.onPeer),
            openListener(admin, handlers.onAdmin),
            openListener(deriveControlAddress(peers), handlers.onControl),
        ]);
        return new RelayListeners(servers, await openLinkListener(deriveLinkAddress(peers), handlers.links));
    }

    /** Closes listeners whose requests have been answered. */
    async close(): Promise<void> {
        this.links.close();
        await Promise.all(this.servers.map(closeListener));
    }
}
