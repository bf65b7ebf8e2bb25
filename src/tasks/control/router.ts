/** Interface between the system's own processes, over tRPC. */
import { initTRPC } from "@trpc/server";
import { z } from "zod";
import { type AuditEntry } from "../audit";
import { type HomeState } from "../homeGuard";
import { type LifecyclePhase } from "../messages";
import { type RouteAdmission } from "../shedder";

/** What a node tells of itself. */
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
    /** Whether another node has told that it has no higher version. */
    readonly policyConfirmed: boolean;
    /** Milliseconds since the version was adopted. */
    readonly policyAgeMs: number;
    readonly platformReached: boolean;
    readonly instancesKnown: number;
    readonly inFlight: number;
    readonly limit: number;
    readonly queued: number;
    readonly keyRecords: number;
    /** Whether the node is the home of its endpoint's keys. */
    readonly home: HomeState;
    /** Routes of which only a share of the new actions is let in. */
    readonly shares: readonly RouteAdmission[];
    readonly refusals: Readonly<Record<string, number>>;
    readonly residentBytes: number;
    readonly processorSeconds: number;
    readonly uptimeSeconds: number;
    readonly binaryVersion: string;
}

const endpointName = z.string().regex(/^[a-z][a-z0-9-]{0,62}$/u);

/** Shape of a notice from another node. */
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

/** Which version a node has in force; 0 for none. */
export interface VersionReport {
    readonly endpoint: string;
    readonly version: number;
    readonly digest: string;
}

/** What the router reads, and to whom it passes notices. */
export interface ControlSource {
    readStatus(): NodeStatus;
    listAudit(afterSequence: number): readonly AuditEntry[];
    receiveNotice(notice: Notice): void;
    readVersion(): VersionReport;
    /** Text of the policy log, or undefined before the first one. */
    readPolicyLog(): string | undefined;
}

const { router, procedure } = initTRPC.create();

/** Creates the router of a node. */
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

/** Type of the router, for clients. */
export type ControlRouter = ReturnType<typeof createControlRouter>;
