/** Requests under way to the nodes of other instances, and the watch for nodes that have fallen silent. */
import { type Clock } from "../../tasks/_lib/clock";
import { type TimerWheel } from "../../tasks/_lib/timerWheel";
import { type Address } from "../../types";
import { ConnectionPool } from "../connectionPool";
import { encodeHopRequest } from "../hop/headers";
import { RemoteHop } from "../hop/remoteHop";
import { LinkClient } from "../link/linkClient";
import { type HopHandler, type HopRequest } from "../types";

/** Connections to one node over which requests are spread, so that a lost packet holds up only some of them. */
const linksPerPeer = 2;

/** What the peers task works with. */
export interface PeersDependencies {
    readonly clock: Clock;
    readonly wheel: TimerWheel;
    /** Ports at which all nodes take requests of others: with streamed bodies over HTTP, all others over links. */
    readonly port: number;
    readonly linkPort: number;
    readonly readVersion: () => number;
    /** Told which routing version a node at a host has in force. */
    readonly onVersionSeen: (host: string, version: number) => void;
    /** Told that a node no longer answers, and the upstreams whose requests are affected. */
    readonly onUnresponsive: (host: string, upstreamIds: readonly string[]) => void;
}

/** Interval of the watch, in milliseconds. */
const watchIntervalMs = 100;
/** Silence after which a node is asked for a sign of life, in milliseconds. */
const silenceMs = 500;
/** Time for the sign of life, in milliseconds; several round trips between failure domains. */
const probeTimeoutMs = 400;
/** Time by which the other node has to be done earlier, in milliseconds: the way back of its last word. */
const hopMarginMs = 3;
/** Pools without requests are dropped after this time, in milliseconds. */
const unusedPoolMs = 30_000;

type CancelHop = (cause: "timeout" | "cancelled" | "connection") => void;

interface Active {
    cancel: CancelHop;
    readonly hopRequest: HopRequest;
    readonly startedAtMs: number;
}

interface Peer {
    readonly pool: ConnectionPool;
    /** Connections that take requests; one that has fallen silent takes no more. */
    readonly links: Set<LinkClient>;
    readonly active: Set<Active>;
    lastActivityMs: number;
    isProbing: boolean;
}

/** Owns the connections to other nodes and the requests on them. */
export class Peers {
    private readonly peers = new Map<string, Peer>();
    private stopWatch: (() => void) | undefined;

    constructor(private readonly dependencies: PeersDependencies) {}

    start(): void {
        this.stopWatch = this.dependencies.clock.startInterval(watchIntervalMs, () => this.checkAll());
    }

    stop(): void {
        this.stopWatch?.();
        this.peers.forEach(({ pool, links }) => {
            pool.abort();
            links.forEach(link => link.abort());
        });
        this.peers.clear();
    }

    /** Sends a request to the node at a host; returns what gives it up. */
    send(host: string, hopRequest: HopRequest, handler: HopHandler): CancelHop {
        const peer = this.open(host);
        const counting: HopHandler = {
            openStream: head => handler.openStream(head),
            settle: (result, report) => {
                peer.active.delete(active);
                if (report) {
                    this.dependencies.onVersionSeen(host, report.version);
                }
                handler.settle(result, report);
            },
        };
        const startedAtMs = this.dependencies.clock.readMonotonicMs();
        const active: Active = { cancel: () => undefined, hopRequest, startedAtMs };
        peer.active.add(active);
        const isWhole = hopRequest.body === undefined || Buffer.isBuffer(hopRequest.body);
        active.cancel = isWhole
            ? this.chooseLink(host, peer).send(hopRequest, counting)
            : this.sendOverHttp(peer, hopRequest, counting);
        return cause => active.cancel(cause);
    }

    private sendOverHttp(peer: Peer, hopRequest: HopRequest, handler: HopHandler): CancelHop {
        const hop = new RemoteHop(hopRequest, handler, {
            pool: peer.pool,
            encodeRequest: encoded => this.encodeRequest(encoded),
        });
        hop.start();
        return cause => hop.cancel(cause);
    }

    /** Returns the link with the fewest requests; opens one while there are fewer than there may be. */
    private chooseLink(host: string, peer: Peer): LinkClient {
        const idlest = [...peer.links].sort((first, second) => first.pending - second.pending)[0];
        if (idlest && (idlest.pending === 0 || peer.links.size >= linksPerPeer)) {
            return idlest;
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
        const remainingMs = hopRequest.deadlineAtMs - this.dependencies.clock.readMonotonicMs() - hopMarginMs;
        return encodeHopRequest({ ...hopRequest, remainingMs, version: this.dependencies.readVersion() });
    }

    private open(host: string): Peer {
        const existing = this.peers.get(host);
        if (existing) {
            return existing;
        }
        const address: Address = { host, port: this.dependencies.port };
        const readNowMs = this.dependencies.clock.readMonotonicMs;
        const onActivity = (): void => {
            peer.lastActivityMs = readNowMs();
        };
        const pool = new ConnectionPool(address, { readNowMs, onActivity });
        const peer: Peer = {
            pool,
            links: new Set(),
            active: new Set(),
            lastActivityMs: readNowMs(),
            isProbing: false,
        };
        this.peers.set(host, peer);
        return peer;
    }

    private checkAll(): void {
        const nowMs = this.dependencies.clock.readMonotonicMs();
        this.peers.forEach((peer, host) => {
            if (peer.active.size === 0 && nowMs - peer.lastActivityMs > unusedPoolMs) {
                peer.pool.close();
                peer.links.forEach(link => link.abort());
                this.peers.delete(host);
                return;
            }
            if (!peer.isProbing && this.isSilent(peer, nowMs)) {
                this.queryLife(host, peer);
            }
        });
    }

    private isSilent(peer: Peer, nowMs: number): boolean {
        if (peer.active.size === 0 || nowMs - peer.lastActivityMs < silenceMs) {
            return false;
        }
        return [...peer.active].some(({ startedAtMs }) => nowMs - startedAtMs > silenceMs);
    }

    /** Asks a silent node for any answer. */
    private queryLife(host: string, peer: Peer): void {
        peer.isProbing = true;
        const askedAtMs = this.dependencies.clock.readMonotonicMs();
        peer.links.forEach(link => link.sendPing());
        this.dependencies.wheel.add(probeTimeoutMs, () => {
            peer.isProbing = false;
            if (peer.lastActivityMs < askedAtMs) {
                this.releaseStuck(host, peer);
            }
        });
    }

    /**
     * Frees the requests at a silent node that may be repeated. The others wait on: the node may have passed them on, and
     * its answer may still come. New requests get new connections, which shows at once whether the node is back.
     */
    private releaseStuck(host: string, peer: Peer): void {
        const stuck = [...peer.active].filter(({ startedAtMs }) => startedAtMs < peer.lastActivityMs + silenceMs * 2);
        peer.links.clear();
        this.dependencies.onUnresponsive(host, [
            ...new Set([...peer.active].map(({ hopRequest }) => hopRequest.upstreamId)),
        ]);
        stuck.filter(({ hopRequest }) => hopRequest.idempotent).forEach(({ cancel }) => cancel("connection"));
    }
}
