/** Keeps requests of which upstreams die from being run again and again, over all nodes of a service. */
import { type Clock } from "../tasks/_lib/clock";
import { findHeader } from "../tasks/_lib/headers";
import { MessageBus } from "../tasks/messages";
import { computeRequestFingerprint, Quarantine } from "../tasks/quarantine";
import { type Address } from "../types";
import { sendSuspect } from "./control";
import { type DecisionLog } from "./log";
import { type HopRequest } from "./types";

/** What the guard works with. */
export interface PoisonGuardDependencies {
    readonly log: DecisionLog;
    /** Control addresses of the nodes whose upstreams may be sent the same requests. */
    readonly listPeers: () => readonly Address[];
}

/** A refused connection this soon after a break means that the upstream died, in milliseconds. */
const crashWindowMs = 400;
/** Requests that are remembered as broken off at the same time. */
const maxSuspects = 400;

interface Break {
    readonly fingerprint: string;
    readonly atMs: number;
}

/** Owns the requests during which the local upstream broke off, until it is known whether it died. */
export class PoisonGuard {
    private readonly bus = new MessageBus();
    private readonly quarantine: Quarantine;
    private breaks: Break[] = [];

    constructor(
        private readonly node: string,
        private readonly clock: Clock,
        private readonly dependencies: PoisonGuardDependencies,
    ) {
        this.quarantine = new Quarantine(node, clock, this.bus);
        this.bus.subscribe("suspectFound", ({ fingerprint }) => this.publishSuspect(fingerprint));
        this.bus.subscribe("audited", ({ audit }) => dependencies.log.write(audit.event, audit.fields));
    }

    /** Whether a request is not to be run. */
    isQuarantined(hopRequest: HopRequest): boolean {
        if (this.quarantine.isEmpty()) {
            return false;
        }
        return this.quarantine.isQuarantined(computeFingerprint(hopRequest), "idempotent");
    }

    /** Records that the upstream broke off a request (`sent`), or that it refused a connection. */
    recordLoss(hopRequest: HopRequest, sent: boolean): void {
        const nowMs = this.clock.readMonotonicMs();
        if (sent) {
            this.breaks = [...this.breaks.slice(1 - maxSuspects), {
                fingerprint: computeFingerprint(hopRequest),
                atMs: nowMs,
            }];
            return;
        }
        const suspects = this.breaks.filter(({ atMs }) => nowMs - atMs < crashWindowMs);
        this.breaks = [];
        suspects.forEach(({ fingerprint }) => this.quarantine.recordCrash(fingerprint));
    }

    /** Clears a request that an upstream has answered. */
    recordAnswer(hopRequest: HopRequest): void {
        if (!this.quarantine.isEmpty()) {
            this.quarantine.recordAnswer(computeFingerprint(hopRequest));
        }
    }

    /** Takes the word of another node that its upstream died during a request. */
    receive(fingerprint: string, node: string): void {
        this.bus.publish({ kind: "suspectReported", fingerprint, endpoint: node });
    }

    private publishSuspect(fingerprint: string): void {
        this.dependencies.listPeers().forEach(address => void this.sendTo(address, fingerprint));
    }

    private async sendTo(address: Address, fingerprint: string): Promise<void> {
        if (!await sendSuspect(address, fingerprint, this.node)) {
            this.dependencies.log.write("suspect-not-told", { host: address.host });
        }
    }
}

/** The same request may come again at any node, so the service where it began tells nothing; its host belongs to it. */
const computeFingerprint = ({ rawHeaders, method, path, body }: HopRequest): string =>
    computeRequestFingerprint({
        caller: findHeader(rawHeaders, "host") ?? "",
        method,
        path,
        body: Buffer.isBuffer(body) ? body : undefined,
    });
