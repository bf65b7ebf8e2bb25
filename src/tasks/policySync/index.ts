/** Compares the version in force with other nodes, so that it never reverts and passes where the platform can't be read. */
import { createTRPCClient, httpLink } from "@trpc/client";
import { noticeTimeoutMs, policySyncIntervalMs } from "../../constants";
import { chooseSyncPeer } from "../../decisions/chooseSyncPeer";
import { type Settings } from "../../settings/types";
import { type Address } from "../../types";
import { type ControlRouter, type VersionReport } from "../control/router";
import { type Directory } from "../directory";
import { type MessageBus } from "../messages";
import { type PolicyTask } from "../policy";

/** What a node can be asked for. */
export interface PolicyPeer {
    /** Reads which version a node has in force; undefined when it can't be reached. */
    readVersion(address: Address): Promise<VersionReport | undefined>;
    /** Reads the policy log of a node; undefined when it can't be reached or has none. */
    readLog(address: Address): Promise<string | undefined>;
}

/** Asks nodes over tRPC. */
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

/** What the comparison needs. */
export interface PolicySyncDependencies {
    readonly settings: Settings;
    readonly directory: Directory;
    readonly policy: PolicyTask;
    readonly peer: PolicyPeer;
    readonly bus: MessageBus;
    readonly sampleRandom: () => number;
}

/** Owns the comparison with other nodes. */
export class PolicySync {
    private timer: NodeJS.Timeout | undefined;
    private confirmed = false;
    private stopped = false;

    constructor(private readonly dependencies: PolicySyncDependencies) {
        dependencies.bus.subscribe("policyAdopted", () => {
            this.confirmed = false;
        });
    }

    /** Whether another node has told that it has no higher version since the last adoption. */
    isConfirmed(): boolean {
        return this.confirmed;
    }

    start(): void {
        this.plan(this.confirmed ? policySyncIntervalMs : policySyncIntervalMs / 10);
    }

    stop(): void {
        this.stopped = true;
        clearTimeout(this.timer);
    }

    /** Compares with one other node, and takes its log when its version is higher. */
    async runOnce(): Promise<void> {
        const { directory, settings, sampleRandom, policy, peer, bus } = this.dependencies;
        const randoms = [sampleRandom(), sampleRandom()] as const;
        const chosen = chooseSyncPeer(directory.listInstances(), settings, randoms);
        const control = chosen?.control ?? this.chooseSeed();
        const report = control && await peer.readVersion(control);
        if (!control || !report || report.version === 0) {
            return;
        }
        const own = policy.inForce?.version ?? 0;
        if (report.version > own) {
            const text = await peer.readLog(control);
            if (text !== undefined) {
                bus.publish({ kind: "policyLogRead", text, revision: 0, source: `peer ${report.endpoint}` });
            }
            return;
        }
        this.confirmed = true;
        if (report.version === own && report.digest !== policy.inForce?.digest) {
            const fields = { version: own, digest: report.digest, seenAt: report.endpoint };
            bus.publish({ kind: "audited", audit: { event: "policy-fork", fields } });
        }
    }

    /** A node of the settings, for a time when no instance list can be read. */
    private chooseSeed(): Address | undefined {
        const { seeds } = this.dependencies.settings;
        return seeds[Math.floor(this.dependencies.sampleRandom() * seeds.length)];
    }

    private plan(meanMs: number): void {
        const waitMs = meanMs * (0.5 + this.dependencies.sampleRandom());
        this.timer = setTimeout(() => {
            void this.runOnce().finally(() => {
                if (!this.stopped) {
                    this.start();
                }
            });
        }, waitMs);
        this.timer.unref();
    }
}
