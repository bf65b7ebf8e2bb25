/** tRPC interface of a node for other nodes and the command line. */
import { initTRPC } from "@trpc/server";
import { z } from "zod";
import { type AuditEntry } from "../audit";
import { type HomeState } from "../homeGuard";
import { type LifecyclePhase } from "../messages";
import { type RouteAdmission } from "../shedder";

/** Status of a node for operators. */
export interface NodeStatus {
    readonly endpoint: string;
    readonly service: string;
    readonly failureDomain: string;
    readonly region: string;
    readonly phase: LifecyclePhase;
    /** Version of the policy in force; 0 before the first adoption. */
    readonly policyVersion: number;
    readonly policyDigest: string;
    readonly policySource: string;
    /** Whether, since the last adoption, another node has reported a version that is not higher. */
    readonly policyConfirmed: boolean;
    /** Time since the policy version was adopted, in milliseconds; 0 before the first adoption. */
    readonly policyAgeMs: number;
    readonly platformReached: boolean;
    readonly instancesKnown: number;
    readonly inFlight: number;
    readonly limit: number;
    readonly queued: number;
    readonly keyRecords: number;
    /** Only a node that is "sure" runs requests with idempotency keys that it has no record of. */
    readonly home: HomeState;
    /** Routes whose new actions are being shed. */
    readonly shares: readonly RouteAdmission[];
    /** Requests that were refused, cancelled or not completely answered: their number by reason. */
    readonly refusals: Readonly<Record<string, number>>;
    readonly residentBytes: number;
    readonly processorSeconds: number;
    readonly uptimeSeconds: number;
    readonly binaryVersion: string;
}

const endpointSchema = z.string().regex(/^[a-z][a-z0-9-]{0,62}$/u);

/** Shape of a notice; its fingerprint is a SHA-256 digest in base64url. */
export const noticeSchema = z.discriminatedUnion("kind", [
    z.strictObject({ kind: z.literal("leaving"), endpoint: endpointSchema }),
    z.strictObject({
        kind: z.literal("suspect"),
        endpoint: endpointSchema,
        fingerprint: z.string().regex(/^[\w-]{43}$/u),
    }),
]);

/** Notice from another node: it is leaving, or its upstream has crashed during a request with this fingerprint. */
export type Notice = Readonly<z.infer<typeof noticeSchema>>;

/** Policy version that a node has in force; the version is 0 and the digest empty before the first adoption. */
export interface VersionReport {
    readonly endpoint: string;
    readonly version: number;
    readonly digest: string;
}

/** The node behind the router: its state, and the handling of notices. */
export interface ControlSource {
    readStatus(): NodeStatus;
    /** Lists the audit entries after a sequence number. */
    listAudit(afterSequence: number): readonly AuditEntry[];
    receiveNotice(notice: Notice): void;
    readVersion(): VersionReport;
    /** Returns the policy log as JSON text, or undefined before the first adoption. */
    readPolicyLog(): string | undefined;
}

const { router, procedure } = initTRPC.create();

/** Creates the router of a node; all its procedures only read, except `notice`. */
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

/** Type of the router; tRPC clients derive the types of their procedures from it. */
export type ControlRouter = ReturnType<typeof createControlRouter>;
