/**
 * Compares policy versions with other nodes, so that a new version never reverts, and spreads even if the platform is
 * unreachable or returns an older one.
 */
import { createTRPCClient, httpLink } from "@trpc/client";
import { z } from "zod";
import { checkShape } from "../../_lib/checkShape";
import { noticeTimeoutMs, policySyncIntervalMs } from "../../constants";
import { chooseSyncPeer } from "../../decisions/chooseSyncPeer";
import { type Settings } from "../../settings/types";
import { type Address } from "../../types";
import { type ControlRouter, type VersionReport } from "../control/router";
import { type Directory } from "../directory";
import { createLearningFailure, type MessageBus } from "../messages";
import { type PolicyTask } from "../policy";

/** Client that reads the policy of other nodes. */
export interface PolicyPeer {
    /** Reads which version a node has in force; resolves with undefined if the query fails. */
    readVersion(address: Address): Promise<VersionReport | undefined>;
    /** Reads the policy log of a node; resolves with undefined if the query fails or the node has no log. */
    readLog(address: Address): Promise<string | undefined>;
}

/** Reads the policy of other nodes over tRPC; each query times out after `noticeTimeoutMs`. */
export class TrpcPolicyPeer implements PolicyPeer {
    async readVersion(address: Address): Promise<VersionReport | undefined> {
        return await runQuery(
            () => createClient(address).version.query(undefined, createQueryOptions()),
            versionSchema,
        );
    }

    async readLog(address: Address): Promise<string | undefined> {
        const log = await runQuery(
            () => createClient(address).policyLog.query(undefined, createQueryOptions()),
            logSchema,
        );
        return log?.text;
    }
}

const createQueryOptions = (): { readonly signal: AbortSignal; } => ({ signal: AbortSignal.timeout(noticeTimeoutMs) });

const createClient = (address: Address) =>
    createTRPCClient<ControlRouter>({ links: [httpLink({ url: `http://${address.host}:${address.port}/trpc` })] });

const versionSchema = z.object({ endpoint: z.string(), version: z.int().min(0), digest: z.string() });
const logSchema = z.object({ text: z.string().optional() });

/** Runs a query; resolves to undefined if it fails or if its answer isn't one of a node. */
const runQuery = async <Value>(query: () => Promise<unknown>, schema: z.ZodType<Value>): Promise<Value | undefined> => {
    try {
        const checked = checkShape(schema, await query());
        return checked.ok ? checked.value : undefined;
    }
    catch {
        return undefined;
    }
};

export interface PolicySyncDependencies {
    readonly settings: Settings;
    readonly directory: Directory;
    readonly policy: PolicyTask;
    readonly peer: PolicyPeer;
    readonly bus: MessageBus;
    /** Returns a random number in [0, 1). */
    readonly sampleRandom: () => number;
}

/** Compares the policy version in force with the version of another node, at random intervals. */
export class PolicySync {
    private timer: NodeJS.Timeout | undefined;
    private confirmed = false;
    private stopped = false;

    constructor(private readonly dependencies: PolicySyncDependencies) {
        dependencies.bus.subscribe("policyAdopted", () => {
            this.confirmed = false;
        });
    }

    /** Whether, since the last adoption, another node has reported a version that is not higher. */
    isConfirmed(): boolean {
        return this.confirmed;
    }

    /** Schedules the next comparison, which comes earlier while the version is unconfirmed. */
    start(): void {
        this.scheduleNext(this.confirmed ? policySyncIntervalMs : policySyncIntervalMs / 10);
    }

    stop(): void {
        this.stopped = true;
        clearTimeout(this.timer);
    }

    /**
     * Compares versions with one other node. Publishes the policy log of that node if its version is higher; records a
     * fork in the audit trail if it has a different version of the same number.
     */
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

    /** Chooses a random seed node of the settings, for when the instance list contains no other node. */
    private chooseSeed(): Address | undefined {
        const { seeds } = this.dependencies.settings;
        return seeds[Math.floor(this.dependencies.sampleRandom() * seeds.length)];
    }

    private scheduleNext(meanMs: number): void {
        const waitMs = meanMs * (0.5 + this.dependencies.sampleRandom());
        this.timer = setTimeout(() => {
            this.compareOnce()
                .catch((error: unknown) =>
                    this.dependencies.bus.publish(createLearningFailure("policy-sync", error as Error))
                )
                .finally(() => {
                    if (!this.stopped) {
                        this.start();
                    }
                });
        }, waitMs);
        this.timer.unref();
    }
}
