/** Compares policy versions with other nodes, so that a version spreads without the platform and never reverts. */
import { createTRPCClient, httpLink } from "@trpc/client";
import { noticeTimeoutMs, policySyncIntervalMs } from "../../constants";
import { chooseSyncPeer } from "../../decisions/chooseSyncPeer";
import { type Settings } from "../../settings/types";
import { type Address } from "../../types";
import { type ControlRouter, type VersionReport } from "../control/router";
import { type Directory } from "../directory";
import { type MessageBus } from "../messages";
import { type PolicyTask } from "../policy";

/** Client for the policy queries between nodes. */
export interface PolicyPeer {
    /** Reads the version that a node has in force; undefined if the node is unreachable. */
    readVersion(address: Address): Promise<VersionReport | undefined>;
    /** Reads the policy log of a node; undefined if the node is unreachable or has no policy log. */
    readLog(address: Address): Promise<string | undefined>;
}

/** Queries nodes over tRPC. */
export class TrpcPolicyPeer implements PolicyPeer {
    async readVersion(address: Address): Promise<VersionReport | undefined> {
        return await runQuery(() => createClient(address).version.query(undefined, createOptions()));
    }

    async readLog(address: Address): Promise<string | undefined> {
        const log = await runQuery(() => createClient(address).policyLog.query(undefined, createOptions()));
        return log?.text;
    }
}

const createOptions = (): { readonly signal: AbortSignal; } => ({ signal: AbortSignal.timeout(noticeTimeoutMs) });

const createClient = (address: Address) =>
    createTRPCClient<ControlRouter>({ links: [httpLink({ url: `http://${address.host}:${address.port}/trpc` })] });

const runQuery = async <Value>(query: () => Promise<Value>): Promise<Value | undefined> => {
    try {
        return await query();
    }
    catch {
        return undefined;
    }
};

/** Dependencies of `PolicySync`. */
export interface PolicySyncDependencies {
    readonly settings: Settings;
    readonly directory: Directory;
    readonly policy: PolicyTask;
    readonly peer: PolicyPeer;
    readonly bus: MessageBus;
    /** Returns a random number in [0, 1). */
    readonly sampleRandom: () => number;
}

/** Compares the version in force with that of other nodes at random intervals. */
export class PolicySync {
    private timer: NodeJS.Timeout | undefined;
    private confirmed = false;
    private stopped = false;

    constructor(private readonly dependencies: PolicySyncDependencies) {
        dependencies.bus.subscribe("policyAdopted", () => {
            this.confirmed = false;
        });
    }

    /** Whether a node that was queried since the last adoption had no higher version. */
    isConfirmed(): boolean {
        return this.confirmed;
    }

    start(): void {
        this.scheduleNext(this.confirmed ? policySyncIntervalMs : policySyncIntervalMs / 10);
    }

    stop(): void {
        this.stopped = true;
        clearTimeout(this.timer);
    }

    /** Compares versions with one other node; publishes its policy log if its version is higher, and reports a fork. */
    async compareOnce(): Promise<void> {
        const { directory, settings, sampleRandom, policy, peer, bus } = this.dependencies;
        const randoms = [sampleRandom(), sampleRandom()] as const;
        const chosen = chooseSyncPeer(directory.listInstances(), settings, randoms);
        const control = chosen?.control ?? this.chooseSeed();
        const report = control && await peer.readVersion(control);
        if (!control || !report || report.version === 0) {
            return;
        }
        const ownVersion = policy.inForce?.version ?? 0;
        if (report.version > ownVersion) {
            const text = await peer.readLog(control);
            if (text !== undefined) {
                bus.publish({ kind: "policyLogRead", text, revision: 0, source: `peer ${report.endpoint}` });
            }
            return;
        }
        this.confirmed = true;
        if (report.version === ownVersion && report.digest !== policy.inForce?.digest) {
            const fields = { version: ownVersion, digest: report.digest, seenAt: report.endpoint };
            bus.publish({ kind: "audited", audit: { event: "policy-fork", fields } });
        }
    }

    /** Chooses a seed node of the settings, for use when the instance list offers no node. */
    private chooseSeed(): Address | undefined {
        const { seeds } = this.dependencies.settings;
        return seeds[Math.floor(this.dependencies.sampleRandom() * seeds.length)];
    }

    private scheduleNext(meanMs: number): void {
        const waitMs = meanMs * (0.5 + this.dependencies.sampleRandom());
        this.timer = setTimeout(() => {
            void this.compareOnce().finally(() => {
                if (!this.stopped) {
                    this.start();
                }
            });
        }, waitMs);
        this.timer.unref();
    }
}
