/** tRPC interface of a node for other nodes and the command line. */
import { initTRPC } from "@trpc/server";
import { z } from "zod";
import { type AuditEntry } from "../audit";
import { type HomeState } from "../homeGuard";
import { type LifecyclePhase } from "../messages";
import { type RouteAdmission } from "../shedder";

/** Status that a node reports. */
export interface NodeStatus {
    readonly endpoint: string;
    readonly service: string;
    readonly failureDomain: string;
    readonly region: string;
    readonly phase: LifecyclePhase;
    /** Version of the policy in force, 0 for none. */
    readonly policyVersion: number;
    readonly policyDigest: string;
    readonly policySource: string;
    /** Whether a node that was queried since the last adoption had no higher version. */
    readonly policyConfirmed: boolean;
    /** Milliseconds since the version was adopted. */
    readonly policyAgeMs: number;
    readonly platformReached: boolean;
    readonly instancesKnown: number;
    readonly inFlight: number;
    readonly limit: number;
    readonly queued: number;
    readonly keyRecords: number;
    /** Whether the node may run requests with new keys of its endpoint. */
    readonly home: HomeState;
    /** Routes with an admission probability below 1 for new actions. */
    readonly shares: readonly RouteAdmission[];
    readonly refusals: Readonly<Record<string, number>>;
    readonly residentBytes: number;
    readonly processorSeconds: number;
    readonly uptimeSeconds: number;
    readonly binaryVersion: string;
}

const endpointName = z.string().regex(/^[a-z][a-z0-9-]{0,62}$/u);

/** Schema of a notice from another node. */
export const noticeSchema = z.discriminatedUnion("kind", [
    z.strictObject({ kind: z.literal("leaving"), endpoint: endpointName }),
    z.strictObject({
        kind: z.literal("suspect"),
        endpoint: endpointName,
        fingerprint: z.string().regex(/^[\w-]{43}$/u),
    }),
]);

/** A notice from another node. */
export type Notice = Readonly<z.infer<typeof noticeSchema>>;

/** Policy version that a node has in force; 0 for none. */
export interface VersionReport {
    readonly endpoint: string;
    readonly version: number;
    readonly digest: string;
}

/** Node state that the router's procedures read, and the receiver of notices. */
export interface ControlSource {
    readStatus(): NodeStatus;
    listAudit(afterSequence: number): readonly AuditEntry[];
    receiveNotice(notice: Notice): void;
    readVersion(): VersionReport;
    /** Reads the text of the policy log; undefined before the first adoption. */
    readPolicyLog(): string | undefined;
}

const { router, procedure } = initTRPC.create();

/** Creates the tRPC router of a node. */
export const createControlRouter = (source: ControlSource) =>
    router({
        status: procedure.query(() => source.readStatus()),
        audit: procedure.input(z.strictObject({ after: z.int().min(0) })).query(({ input }) =>
            source.listAudit(input.after)
        ),
        version: procedure.query(() => source.readVersion()),
        policyLog: procedure.query(() => ({ text: source.readPolicyLog() })),
        notice: procedure.input(noticeSchema).mutation(({ input }) => source.receiveNotice(input)),
    });

/** Type of the router, for tRPC clients. */
export type ControlRouter = ReturnType<typeof createControlRouter>;
