/** Quarantines requests that crash upstreams, on all nodes of a service. */
import { awaitDelay, type Clock } from "../tasks/_lib/clock";
import { findHeader } from "../tasks/_lib/headers";
import { MessageBus } from "../tasks/messages";
import { computeRequestFingerprint, Quarantine } from "../tasks/quarantine";
import { type Address } from "../types";
import { sendSuspect } from "./control/client";
import { type EventLog } from "./log";
import { type HopRequest } from "./types";

/** Event log of the guard, and the nodes that receive its suspected requests. */
export interface PoisonGuardDependencies {
    readonly log: EventLog;
    /** Returns the control addresses of the nodes whose upstreams may receive the same requests. */
    readonly listControlAddresses: () => readonly Address[];
    /** Checks whether the local upstream accepts connections. */
    readonly isUpstreamListening: () => Promise<boolean>;
}

/** Time after a lost connection within which a refused connection indicates an upstream crash, in milliseconds. */
const crashWindowMs = 400;
/** Time after a lost connection at which it is checked whether the upstream has crashed, in milliseconds. */
const crashCheckDelayMs = 50;
/** Pause before the last check, in milliseconds: the upstream's listener may close a little later than its connections. */
const lastCrashCheckDelayMs = 250;
/** Maximum number of interrupted requests that are remembered until a crash is detected. */
const maxInterruptedRequests = 400;

/** A request during which the connection to the upstream was lost. */
interface InterruptedRequest {
    readonly fingerprint: string;
    readonly atMs: number;
}

/** Suspects the requests that a crash of the local upstream interrupted, and quarantines repeated suspects. */
export class PoisonGuard {
    private readonly bus = new MessageBus();
    private readonly quarantine: Quarantine;
    private interruptedRequests: InterruptedRequest[] = [];
    private isChecking = false;

    constructor(
        private readonly node: string,
        private readonly clock: Clock,
        private readonly dependencies: PoisonGuardDependencies,
    ) {
        this.quarantine = new Quarantine(node, clock, this.bus);
        this.bus.subscribe("suspectFound", ({ fingerprint }) => this.publishSuspect(fingerprint));
        this.bus.subscribe("audited", ({ audit }) => dependencies.log.write(audit.event, audit.fields));
    }

    /** Whether a request is quarantined and must not be run. */
    isQuarantined(hopRequest: HopRequest): boolean {
        if (this.quarantine.isEmpty()) {
            return false;
        }
        return this.quarantine.isQuarantined(computeFingerprint(hopRequest), "idempotent");
    }

    /**
     * Records that the connection to the upstream was lost during a request (`wasSent`) or could not be opened. A
     * connection that cannot be opened soon after another one was lost means that the upstream crashed. On a quiet
     * service no other request tells it, so that a connection is opened for the purpose.
     */
    recordConnectionLoss(hopRequest: HopRequest, wasSent: boolean): void {
        if (wasSent) {
            this.interruptedRequests = [...this.interruptedRequests.slice(1 - maxInterruptedRequests), {
                fingerprint: computeFingerprint(hopRequest),
                atMs: this.clock.readMonotonicMs(),
            }];
            this.checkUpstream().catch((error: unknown) =>
                this.dependencies.log.writeFailure("upstream-check-failed", error as Error)
            );
            return;
        }
        this.recordSuspects();
    }

    /** Checks for all connections that are lost together whether the upstream has crashed. */
    private async checkUpstream(): Promise<void> {
        if (this.isChecking) {
            return;
        }
        this.isChecking = true;
        try {
            if (!await this.awaitListening()) {
                this.recordSuspects();
            }
        }
        finally {
            this.isChecking = false;
        }
    }

    /** Resolves to false once the upstream refuses connections, and to true if it goes on accepting them. */
    private async awaitListening(): Promise<boolean> {
        await awaitDelay(this.clock, crashCheckDelayMs);
        let isListening = await this.dependencies.isUpstreamListening();
        while (isListening && this.hasInterruptedWithin(lastCrashCheckDelayMs)) {
            await awaitDelay(this.clock, lastCrashCheckDelayMs);
            isListening = await this.dependencies.isUpstreamListening();
        }
        return isListening;
    }

    private hasInterruptedWithin(durationMs: number): boolean {
        const latest = this.interruptedRequests[this.interruptedRequests.length - 1];
        return latest !== undefined && this.clock.readMonotonicMs() - latest.atMs < durationMs;
    }

    private recordSuspects(): void {
        const nowMs = this.clock.readMonotonicMs();
        const suspects = this.interruptedRequests.filter(({ atMs }) => nowMs - atMs < crashWindowMs);
        this.interruptedRequests = [];
        suspects.forEach(({ fingerprint }) => this.quarantine.recordCrash(fingerprint));
    }

    /** Clears the suspicion of a request that the local upstream has answered. */
    recordAnswer(hopRequest: HopRequest): void {
        if (!this.quarantine.isEmpty()) {
            this.quarantine.recordAnswer(computeFingerprint(hopRequest));
        }
    }

    /** Records the report of another node that its upstream crashed during a request. */
    receiveSuspect(fingerprint: string, node: string): void {
        this.bus.publish({ kind: "suspectReported", fingerprint, endpoint: node });
    }

    private publishSuspect(fingerprint: string): void {
        this.dependencies.listControlAddresses().forEach(address => void this.reportSuspect(address, fingerprint));
    }

    private async reportSuspect(address: Address, fingerprint: string): Promise<void> {
        if (!await sendSuspect(address, fingerprint, this.node)) {
            this.dependencies.log.write("suspect-not-told", { host: address.host });
        }
    }
}

/** Identifies the caller by the Host header: a retry may enter at another node, which changes the caller service. */
const computeFingerprint = ({ rawHeaders, method, path, body }: HopRequest): string =>
    computeRequestFingerprint({
        caller: findHeader(rawHeaders, "host") ?? "",
        method,
        path,
        body: Buffer.isBuffer(body) ? body : undefined,
    });
