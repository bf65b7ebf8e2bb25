/** Requests under way to the nodes of other instances, and the watch for nodes that have fallen silent. */
import { Attempt } from "../../tasks/_lib/attempt";
import { type Clock } from "../../tasks/_lib/clock";
import { type TimerWheel } from "../../tasks/_lib/timerWheel";
import { type Address } from "../../types";
import { ConnectionPool } from "../connectionPool";
import { RemoteHop } from "../hop/remoteHop";
import { type HopOrder, type HopOwner } from "../types";

/** What the peers task works with. */
export interface PeersParts {
    readonly clock: Clock;
    readonly wheel: TimerWheel;
    /** Port at which all nodes take requests of others. */
    readonly port: number;
    readonly readVersion: () => number;
    /** Told which routing version a node at a host has in force. */
    readonly onVersionSeen: (host: string, version: number) => void;
    /** Told that a node no longer answers, and the upstreams whose requests are affected. */
    readonly onSilent: (host: string, upstreamIds: readonly string[]) => void;
}

/** Interval of the watch, in milliseconds. */
const watchIntervalMs = 100;
/** Silence after which a node is asked for a sign of life, in milliseconds. */
const silenceMs = 500;
/** Time for the sign of life, in milliseconds; several round trips between failure domains. */
const probeTimeoutMs = 400;
/** Pools without requests are dropped after this time, in milliseconds. */
const unusedPoolMs = 30_000;

interface Active {
    readonly hop: RemoteHop;
    readonly order: HopOrder;
    readonly startedAtMs: number;
}

interface Peer {
    readonly pool: ConnectionPool;
    readonly active: Set<Active>;
    lastActivityMs: number;
    isProbing: boolean;
}

/** Owns the connections to other nodes and the requests on them. */
export class Peers {
    private readonly peers = new Map<string, Peer>();
    private stopWatch: (() => void) | undefined;

    constructor(private readonly parts: PeersParts) {}

    start(): void {
        this.stopWatch = this.parts.clock.startInterval(watchIntervalMs, () => this.checkAll());
    }

    stop(): void {
        this.stopWatch?.();
        this.peers.forEach(({ pool }) => pool.abort());
        this.peers.clear();
    }

    /** Sends a request to the node at a host; returns what gives it up. */
    send(
        host: string,
        order: HopOrder,
        owner: HopOwner,
    ): (cause: "timeout" | "cancelled" | "connection") => void {
        const peer = this.open(host);
        const counting: HopOwner = {
            openStream: head => owner.openStream(head),
            settle: (result, report) => {
                peer.active.delete(active);
                if (report) {
                    this.parts.onVersionSeen(host, report.version);
                }
                owner.settle(result, report);
            },
        };
        const hop = new RemoteHop(order, counting, {
            pool: peer.pool,
            readNowMs: this.parts.clock.readMonotonicMs,
            readVersion: this.parts.readVersion,
        });
        const active: Active = { hop, order, startedAtMs: this.parts.clock.readMonotonicMs() };
        peer.active.add(active);
        hop.start();
        return cause => hop.cancel(cause);
    }

    private open(host: string): Peer {
        const existing = this.peers.get(host);
        if (existing) {
            return existing;
        }
        const address: Address = { host, port: this.parts.port };
        const readNowMs = this.parts.clock.readMonotonicMs;
        const onActivity = (): void => {
            peer.lastActivityMs = readNowMs();
        };
        const pool = new ConnectionPool(address, { readNowMs, onActivity });
        const peer: Peer = { pool, active: new Set(), lastActivityMs: readNowMs(), isProbing: false };
        this.peers.set(host, peer);
        return peer;
    }

    private checkAll(): void {
        const nowMs = this.parts.clock.readMonotonicMs();
        this.peers.forEach((peer, host) => {
            if (peer.active.size === 0 && nowMs - peer.lastActivityMs > unusedPoolMs) {
                peer.pool.close();
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

    /** Asks a silent node for any answer on a connection of its own or an idle one. */
    private queryLife(host: string, peer: Peer): void {
        peer.isProbing = true;
        const attempt = new Attempt("GET", {
            takeAnswer: () => undefined,
            finish: result => {
                this.parts.wheel.remove(timeout);
                peer.isProbing = false;
                if (result.kind === "answered") {
                    peer.lastActivityMs = this.parts.clock.readMonotonicMs();
                    return;
                }
                this.releaseStuck(host, peer);
            },
        });
        const timeout = this.parts.wheel.add(probeTimeoutMs, () => attempt.abort("timeout"));
        peer.pool.dispatch({ method: "GET", path: "/", idempotent: false }, attempt);
    }

    /**
     * Frees the requests at a silent node that may be repeated. The others wait on: the node may have passed them on, and
     * its answer may still come.
     */
    private releaseStuck(host: string, peer: Peer): void {
        const stuck = [...peer.active].filter(({ startedAtMs }) => startedAtMs < peer.lastActivityMs + silenceMs * 2);
        this.parts.onSilent(host, [...new Set([...peer.active].map(({ order }) => order.upstreamId))]);
        stuck.filter(({ order }) => order.idempotent).forEach(({ hop }) => hop.cancel("connection"));
    }
}
