/** Poison requests: those during which upstreams died, and which are sent again. */
import { LRUCache } from "lru-cache";
import { createHash } from "node:crypto";
import { maxCrashHistories } from "../../constants";
import { type CrashHistory, type IdempotencyKind, isQuarantined, recordCrash } from "../../decisions/isQuarantined";
import { type Clock } from "../_lib/clock";
import { type MessageBus } from "../messages";

/** What tells a request from others. */
export interface SuspectRequest {
    readonly caller: string;
    readonly method: string;
    readonly path: string;
    readonly body: Buffer | undefined;
}

/** Computes the fingerprint of a request; another caller's request never has the same one. */
export const computeSuspectFingerprint = (request: SuspectRequest): string =>
    createHash("sha256")
        .update(`${request.caller}\n${request.method}\n${request.path}\n`)
        .update(request.body ?? "")
        .digest("base64url");

const noCrashes: CrashHistory = { crashes: [] };
const shownFingerprintCharacters = 8;

/** Owns the fingerprints of requests during which upstreams died; bounded in number and in time. */
export class Quarantine {
    private readonly records = new LRUCache<string, CrashHistory>({ max: maxCrashHistories });

    constructor(private readonly endpoint: string, private readonly clock: Clock, private readonly bus: MessageBus) {
        bus.subscribe("suspectReported", ({ fingerprint, endpoint: reporter }) => this.addCrash(fingerprint, reporter));
    }

    /** Whether nothing is under suspicion, so that no fingerprint has to be computed. */
    isEmpty(): boolean {
        return this.records.size === 0;
    }

    /** Whether a request is refused. */
    isRefused(fingerprint: string, kind: IdempotencyKind): boolean {
        const record = this.records.get(fingerprint);
        return record !== undefined && isQuarantined(record, kind, this.clock.readMonotonicMs());
    }

    /** Records that the local upstream died during a request, and has other nodes told. */
    recordCrash(fingerprint: string): void {
        this.addCrash(fingerprint, this.endpoint);
        this.bus.publish({ kind: "suspectFound", fingerprint });
    }

    /** Clears a request that an upstream has answered: a poison request never gets that far. */
    recordAnswer(fingerprint: string): void {
        this.records.delete(fingerprint);
    }

    private addCrash(fingerprint: string, endpoint: string): void {
        const before = this.records.get(fingerprint) ?? noCrashes;
        const after = recordCrash(before, { endpoint, atMs: this.clock.readMonotonicMs() });
        this.records.set(fingerprint, after);
        if (after.crashes.length > before.crashes.length) {
            const fields = {
                fingerprint: fingerprint.slice(0, shownFingerprintCharacters),
                at: endpoint,
                deaths: after.crashes.length,
            };
            this.bus.publish({ kind: "audited", audit: { event: "request-suspected", fields } });
        }
    }
}
