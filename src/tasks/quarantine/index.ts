/** Quarantine of poison requests, which crash the upstream at each attempt. */
import { LRUCache } from "lru-cache";
import { createHash } from "node:crypto";
import { maxCrashHistories } from "../../constants";
import { type CrashHistory, type IdempotencyKind, isQuarantined, recordCrash } from "../../decisions/isQuarantined";
import { type Clock } from "../_lib/clock";
import { type MessageBus } from "../messages";

/** Properties of a request that its fingerprint covers. */
export interface RequestIdentity {
    readonly caller: string;
    readonly method: string;
    readonly path: string;
    readonly body: Buffer | undefined;
}

/** Computes the fingerprint of a request. It covers the caller, so that callers can't affect each other's requests. */
export const computeRequestFingerprint = (request: RequestIdentity): string =>
    createHash("sha256")
        .update(`${request.caller}\n${request.method}\n${request.path}\n`)
        .update(request.body ?? "")
        .digest("base64url");

const noCrashes: CrashHistory = { crashes: [] };
/** Length to which the audit trail shortens fingerprints, in characters. */
const auditedFingerprintLength = 8;

/** Keeps the recent crashes of upstreams by request fingerprint, for at most `maxCrashHistories` fingerprints. */
export class Quarantine {
    private readonly histories = new LRUCache<string, CrashHistory>({ max: maxCrashHistories });

    constructor(private readonly endpoint: string, private readonly clock: Clock, private readonly bus: MessageBus) {
        bus.subscribe("suspectReported", ({ fingerprint, endpoint: reporter }) => this.addCrash(fingerprint, reporter));
    }

    /** Whether no crash is recorded; no fingerprint has to be computed then. */
    isEmpty(): boolean {
        return this.histories.size === 0;
    }

    /** Whether a request has to be refused because of recent crashes; its kind determines how many are allowed. */
    isQuarantined(fingerprint: string, kind: IdempotencyKind): boolean {
        const history = this.histories.get(fingerprint);
        return history !== undefined && isQuarantined(history, kind, this.clock.readMonotonicMs());
    }

    /** Records that the local upstream crashed during a request, and publishes a message to notify other nodes. */
    recordCrash(fingerprint: string): void {
        this.addCrash(fingerprint, this.endpoint);
        this.bus.publish({ kind: "suspectFound", fingerprint });
    }

    /** Clears the crash history of a request that the upstream has answered, since a poison request gets no answer. */
    recordAnswer(fingerprint: string): void {
        this.histories.delete(fingerprint);
    }

    private addCrash(fingerprint: string, endpoint: string): void {
        const before = this.histories.get(fingerprint) ?? noCrashes;
        const after = recordCrash(before, { endpoint, atMs: this.clock.readMonotonicMs() });
        this.histories.set(fingerprint, after);
        if (after.crashes.length > before.crashes.length) {
            const fields = {
                fingerprint: fingerprint.slice(0, auditedFingerprintLength),
                at: endpoint,
                deaths: after.crashes.length,
            };
            this.bus.publish({ kind: "audited", audit: { event: "request-suspected", fields } });
        }
    }
}
