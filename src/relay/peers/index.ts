/** Sends requests to other nodes, and detects nodes that have become unresponsive. */
import { type Clock, readInstant } from "../../tasks/_lib/clock";
import { type TimerWheel } from "../../tasks/_lib/timerWheel";
import { type Address, type Instant } from "../../types";
import { ConnectionPool } from "../connectionPool";
import { encodeHopRequest } from "../hop/headers";
import { RemoteHop } from "../hop/remoteHop";
import { LinkClient } from "../link/linkClient";
import { type TokenAnswer, type TokenQuery } from "../organisations/tokenMessages";
import { type HopHandler, type HopRequest, type LoadReport } from "../types";

/** Maximum number of links to one node. Requests are spread over links, so that a lost packet delays only some. */
const maxLinksPerPeer = 2;

/** Ports of the other nodes, and callbacks for their routing versions and failures. */
export interface PeersDependencies {
    readonly clock: Clock;
    readonly wheel: TimerWheel;
    /** Port of the HTTP listener for requests with streamed bodies, the same on all nodes. */
    readonly httpPort: number;
    /** Port of the link listener for all other requests, the same on all nodes. */
    readonly linkPort: number;
    readonly readVersion: () => number;
    /** Called with the load report of the node at a host, and with the time before which that node can't have sent it. */
    readonly onReport: (host: string, report: LoadReport, askedAt: Instant) => void;
    /** Called with the exception of a frame of another node that could not be handled. */
    readonly onFrameFailed: (error: Error) => void;
    /** Called when a node no longer answers, with the ids of the target upstreams of the requests pending at it. */
    readonly onUnresponsive: (host: string, upstreamIds: readonly string[]) => void;
}

/** Interval between the checks for idle and unresponsive nodes, in milliseconds. */
const checkIntervalMs = 200;
/** Age of a pending request and time without data from its node after which the node is pinged, in milliseconds. */
const pingAfterMs = 500;
/** Timeout of a ping, in milliseconds. Allows several round trips between failure domains. */
const pingTimeoutMs = 400;
/** Timeout of a token query, in milliseconds; requests wait for its answer. */
const tokenTimeoutMs = 300;
/** Time by which the deadline sent to another node is earlier, so that its answer arrives in time, in milliseconds. */
const answerReturnMarginMs = 3;
/** Time without requests or data after which the connections to a node are closed, in milliseconds. */
const idlePeerTimeoutMs = 30_000;

type CancelHop = (cause: "timeout" | "cancelled" | "connection") => void;

interface ActiveHop {
    cancel: CancelHop;
    readonly hopRequest: HopRequest;
    readonly startedAtMs: number;
}

interface Peer {
    readonly pool: ConnectionPool;
    /** Links that accept new requests; a link is removed when it closes or its node becomes unresponsive. */
    readonly links: Set<LinkClient>;
    readonly activeHops: Set<ActiveHop>;
    lastActivityMs: number;
    isPingPending: boolean;
}

/** Sends requests over connections to other nodes, and cancels them when a node becomes unresponsive. */
export class Peers {
    private readonly peers = new Map<string, Peer>();
    private stopChecks: (() => void) | undefined;

    constructor(private readonly dependencies: PeersDependencies) {}

    start(): void {
        this.stopChecks = this.dependencies.clock.startInterval(checkIntervalMs, () => this.checkPeers());
    }

    stop(): void {
        this.stopChecks?.();
        this.peers.forEach(({ pool, links }) => {
            pool.abort();
            links.forEach(link => link.abort());
        });
        this.peers.clear();
    }

    /** Sends a request over HTTP if its body is streamed, else over a link; returns a function that cancels it. */
    send(host: string, hopRequest: HopRequest, handler: HopHandler): CancelHop {
        const peer = this.getPeer(host);
        const askedAt = readInstant(this.dependencies.clock);
        const trackingHandler: HopHandler = {
            openStream: head => handler.openStream(head),
            settle: (result, report) => {
                peer.activeHops.delete(activeHop);
                if (report) {
                    this.dependencies.onReport(host, report, askedAt);
                }
                handler.settle(result, report);
            },
        };
        const activeHop: ActiveHop = { cancel: () => undefined, hopRequest, startedAtMs: askedAt.monotonicMs };
        peer.activeHops.add(activeHop);
        const isBuffered = hopRequest.body === undefined || Buffer.isBuffer(hopRequest.body);
        activeHop.cancel = isBuffered
            ? this.chooseLink(host, peer).send(hopRequest, trackingHandler)
            : this.sendOverHttp(peer, hopRequest, trackingHandler);
        return cause => activeHop.cancel(cause);
    }

    /** Sends a token query to a node; calls back once, with undefined if no answer comes in time. */
    queryTokens(host: string, query: TokenQuery, onAnswer: (answer: TokenAnswer | undefined) => void): void {
        const peer = this.getPeer(host);
        const link = this.chooseLink(host, peer);
        const { receivedFrames } = link;
        const timeout = this.dependencies.wheel.add(tokenTimeoutMs, () => {
            cancelQuery();
            if (link.receivedFrames === receivedFrames) {
                removeSilentLink(peer, link);
            }
            onAnswer(undefined);
        });
        const cancelQuery = link.queryTokens(query, answer => {
            this.dependencies.wheel.remove(timeout);
            onAnswer(answer);
        });
    }

    private sendOverHttp(peer: Peer, hopRequest: HopRequest, handler: HopHandler): CancelHop {
        const hop = new RemoteHop(hopRequest, handler, {
            pool: peer.pool,
            encodeRequest: request => this.encodeRequest(request),
        });
        hop.start();
        return cause => hop.cancel(cause);
    }

    /** Returns an idle link if there is one. Otherwise opens a link, or returns the least loaded one at the maximum. */
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
            onFrameFailed: this.dependencies.onFrameFailed,
            onClosed: () => peer.links.delete(link),
        });
        peer.links.add(link);
        return link;
    }

    private encodeRequest(hopRequest: HopRequest): string {
        const remainingMs = hopRequest.deadlineAtMs - this.dependencies.clock.readMonotonicMs() - answerReturnMarginMs;
        return encodeHopRequest({ ...hopRequest, remainingMs, version: this.dependencies.readVersion() });
    }

    private getPeer(host: string): Peer {
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

    private checkPeers(): void {
        const nowMs = this.dependencies.clock.readMonotonicMs();
        this.peers.forEach((peer, host) => {
            if (peer.activeHops.size === 0 && nowMs - peer.lastActivityMs > idlePeerTimeoutMs) {
                peer.pool.close();
                peer.links.forEach(link => link.abort());
                this.peers.delete(host);
                return;
            }
            if (!peer.isPingPending && this.isPingDue(peer, nowMs)) {
                this.pingPeer(host, peer);
            }
        });
    }

    private isPingDue(peer: Peer, nowMs: number): boolean {
        if (peer.activeHops.size === 0 || nowMs - peer.lastActivityMs < pingAfterMs) {
            return false;
        }
        return [...peer.activeHops].some(({ startedAtMs }) => nowMs - startedAtMs > pingAfterMs);
    }

    /** Pings a node over its links, and cancels its stalled requests if no data arrives in time. */
    private pingPeer(host: string, peer: Peer): void {
        peer.isPingPending = true;
        const pingedAtMs = this.dependencies.clock.readMonotonicMs();
        peer.links.forEach(link => link.sendPing());
        this.dependencies.wheel.add(pingTimeoutMs, () => {
            peer.isPingPending = false;
            if (peer.lastActivityMs < pingedAtMs) {
                this.cancelStalledHops(host, peer);
            }
        });
    }

    /**
     * Cancels the stalled idempotent requests at an unresponsive node. Other requests keep waiting, since the node may
     * have forwarded them and may still answer. New requests use new links, which shows at once whether the node is
     * reachable.
     */
    private cancelStalledHops(host: string, peer: Peer): void {
        const stalledHops = [...peer.activeHops].filter(({ startedAtMs }) =>
            startedAtMs < peer.lastActivityMs + pingAfterMs * 2
        );
        peer.links.clear();
        this.dependencies.onUnresponsive(host, [
            ...new Set([...peer.activeHops].map(({ hopRequest }) => hopRequest.upstreamId)),
        ]);
        stalledHops.filter(({ hopRequest }) => hopRequest.idempotent).forEach(({ cancel }) => cancel("connection"));
    }
}

/** Has the next query use a new link, which shows whether the node is reachable. Requests under way keep theirs. */
const removeSilentLink = (peer: Peer, link: LinkClient): void => {
    peer.links.delete(link);
    if (link.pending === 0) {
        link.abort();
    }
};
