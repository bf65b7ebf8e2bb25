/** Sends requests to other nodes, and detects nodes that have become unresponsive. */
import { type Clock } from "../../tasks/_lib/clock";
import { type TimerWheel } from "../../tasks/_lib/timerWheel";
import { type Address } from "../../types";
import { ConnectionPool } from "../connectionPool";
import { encodeHopRequest } from "../hop/headers";
import { RemoteHop } from "../hop/remoteHop";
import { LinkClient } from "../link/linkClient";
import { type HopHandler, type HopRequest } from "../types";

/** Maximum number of links to one node. Requests are spread over them, so that a lost packet delays only some. */
const maxLinksPerPeer = 2;

/** Clock, ports and callbacks of the peers. */
export interface PeersDependencies {
    readonly clock: Clock;
    readonly wheel: TimerWheel;
    /** Port of the HTTP listener for requests with streamed bodies, the same on all nodes. */
    readonly httpPort: number;
    /** Port of the link listener for all other requests, the same on all nodes. */
    readonly linkPort: number;
    readonly readVersion: () => number;
    /** Called with the routing version that the node at a host uses. */
    readonly onVersionSeen: (host: string, version: number) => void;
    /** Called when a node does not answer any more, with the ids of the upstreams of its pending requests. */
    readonly onUnresponsive: (host: string, upstreamIds: readonly string[]) => void;
}

/** Interval of the checks for unresponsive nodes, in milliseconds. */
const checkIntervalMs = 100;
/** Time without data from a node after which it is pinged, in milliseconds. */
const unresponsiveAfterMs = 500;
/** Timeout of a ping, in milliseconds; several round trips between failure domains. */
const pingTimeoutMs = 400;
/** Part of the remaining time that is reserved for the return of the answer from the node, in milliseconds. */
const answerReturnMarginMs = 3;
/** Time after which the connections to a node without requests are closed, in milliseconds. */
const idlePeerTimeoutMs = 30_000;

type CancelHop = (cause: "timeout" | "cancelled" | "connection") => void;

interface ActiveHop {
    cancel: CancelHop;
    readonly hopRequest: HopRequest;
    readonly startedAtMs: number;
}

interface Peer {
    readonly pool: ConnectionPool;
    /** Links that accept new requests; those to an unresponsive node are removed. */
    readonly links: Set<LinkClient>;
    readonly activeHops: Set<ActiveHop>;
    lastActivityMs: number;
    isPingPending: boolean;
}

/** Manages the connections to other nodes and the requests on them. */
export class Peers {
    private readonly peers = new Map<string, Peer>();
    private stopChecks: (() => void) | undefined;

    constructor(private readonly dependencies: PeersDependencies) {}

    start(): void {
        this.stopChecks = this.dependencies.clock.startInterval(checkIntervalMs, () => this.checkAll());
    }

    stop(): void {
        this.stopChecks?.();
        this.peers.forEach(({ pool, links }) => {
            pool.abort();
            links.forEach(link => link.abort());
        });
        this.peers.clear();
    }

    /** Sends a request to the node at a host; returns a function that cancels it. */
    send(host: string, hopRequest: HopRequest, handler: HopHandler): CancelHop {
        const peer = this.openPeer(host);
        const trackingHandler: HopHandler = {
            openStream: head => handler.openStream(head),
            settle: (result, report) => {
                peer.activeHops.delete(activeHop);
                if (report) {
                    this.dependencies.onVersionSeen(host, report.version);
                }
                handler.settle(result, report);
            },
        };
        const startedAtMs = this.dependencies.clock.readMonotonicMs();
        const activeHop: ActiveHop = { cancel: () => undefined, hopRequest, startedAtMs };
        peer.activeHops.add(activeHop);
        const isBuffered = hopRequest.body === undefined || Buffer.isBuffer(hopRequest.body);
        activeHop.cancel = isBuffered
            ? this.chooseLink(host, peer).send(hopRequest, trackingHandler)
            : this.sendOverHttp(peer, hopRequest, trackingHandler);
        return cause => activeHop.cancel(cause);
    }

    private sendOverHttp(peer: Peer, hopRequest: HopRequest, handler: HopHandler): CancelHop {
        const hop = new RemoteHop(hopRequest, handler, {
            pool: peer.pool,
            encodeRequest: request => this.encodeRequest(request),
        });
        hop.start();
        return cause => hop.cancel(cause);
    }

    /** Returns an idle link; if there is none, opens one up to the maximum, or returns the least loaded one. */
    private chooseLink(host: string, peer: Peer): LinkClient {
        const leastLoaded = [...peer.links].sort((first, second) => first.pending - second.pending)[0];
        if (leastLoaded && (leastLoaded.pending === 0 || peer.links.size >= maxLinksPerPeer)) {
            return leastLoaded;
        }
        const link: LinkClient = new LinkClient({
            address: { host, port: this.dependencies.linkPort },
            encodeRequest: hopRequest => this.encodeRequest(hopRequest),
            onActivity: () => {
                peer.lastActivityMs = this.dependencies.clock.readMonotonicMs();
            },
            onClosed: () => peer.links.delete(link),
        });
        peer.links.add(link);
        return link;
    }

    private encodeRequest(hopRequest: HopRequest): string {
        const remainingMs = hopRequest.deadlineAtMs - this.dependencies.clock.readMonotonicMs() - answerReturnMarginMs;
        return encodeHopRequest({ ...hopRequest, remainingMs, version: this.dependencies.readVersion() });
    }

    private openPeer(host: string): Peer {
        const existing = this.peers.get(host);
        if (existing) {
            return existing;
        }
        const address: Address = { host, port: this.dependencies.httpPort };
        const readNowMs = this.dependencies.clock.readMonotonicMs;
        const onActivity = (): void => {
            peer.lastActivityMs = readNowMs();
        };
        const pool = new ConnectionPool(address, { readNowMs, onActivity });
        const peer: Peer = {
            pool,
            links: new Set(),
            activeHops: new Set(),
            lastActivityMs: readNowMs(),
            isPingPending: false,
        };
        this.peers.set(host, peer);
        return peer;
    }

    private checkAll(): void {
        const nowMs = this.dependencies.clock.readMonotonicMs();
        this.peers.forEach((peer, host) => {
            if (peer.activeHops.size === 0 && nowMs - peer.lastActivityMs > idlePeerTimeoutMs) {
                peer.pool.close();
                peer.links.forEach(link => link.abort());
                this.peers.delete(host);
                return;
            }
            if (!peer.isPingPending && this.isUnresponsive(peer, nowMs)) {
                this.checkPeer(host, peer);
            }
        });
    }

    private isUnresponsive(peer: Peer, nowMs: number): boolean {
        if (peer.activeHops.size === 0 || nowMs - peer.lastActivityMs < unresponsiveAfterMs) {
            return false;
        }
        return [...peer.activeHops].some(({ startedAtMs }) => nowMs - startedAtMs > unresponsiveAfterMs);
    }

    /** Pings an unresponsive node, and cancels its stalled requests if it does not answer in time. */
    private checkPeer(host: string, peer: Peer): void {
        peer.isPingPending = true;
        const pingedAtMs = this.dependencies.clock.readMonotonicMs();
        peer.links.forEach(link => link.sendPing());
        this.dependencies.wheel.add(pingTimeoutMs, () => {
            peer.isPingPending = false;
            if (peer.lastActivityMs < pingedAtMs) {
                this.cancelStalled(host, peer);
            }
        });
    }

    /**
     * Cancels the idempotent requests at an unresponsive node. The others keep waiting, since the node may have
     * forwarded them and may still answer. New requests use new connections, which shows at once whether the node is
     * reachable.
     */
    private cancelStalled(host: string, peer: Peer): void {
        const stalledHops = [...peer.activeHops].filter(({ startedAtMs }) =>
            startedAtMs < peer.lastActivityMs + unresponsiveAfterMs * 2
        );
        peer.links.clear();
        this.dependencies.onUnresponsive(host, [
            ...new Set([...peer.activeHops].map(({ hopRequest }) => hopRequest.upstreamId)),
        ]);
        stalledHops.filter(({ hopRequest }) => hopRequest.idempotent).forEach(({ cancel }) => cancel("connection"));
    }
}
