/** Prometheus metrics of a node. */
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import { registerGauge } from "../../_lib/registerGauge";
import { type Importance, type Outcome } from "../../types";
import { type RouteAdmission } from "../shedder";

/** Values of the gauges, read on each scrape. */
export interface ScrapedStats {
    readonly inFlight: number;
    readonly limit: number;
    readonly queued: number;
    readonly keyRecords: number;
    readonly policyVersion: number;
    /** Routes whose new actions are being shed. */
    readonly shares: readonly RouteAdmission[];
}

/** How a request was answered. */
export interface ServedRequest {
    readonly route: string;
    readonly importance: Importance;
    readonly outcome: Outcome;
    /** Why the request was refused, cancelled or not completely answered; "answered" for all others. */
    readonly reason: string;
    /** Time from the arrival of the request until its outcome was known, in seconds. */
    readonly durationSeconds: number;
}

const durationBucketsSeconds = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10];

/** Metrics registry of a node; label values are bounded, since they come from the policy and from fixed sets. */
export class NodeMetrics {
    readonly registry = new Registry();
    private readonly accepted = new Counter({
        name: "pomelovalve_requests_accepted_total",
        help: "Requests read from callers and peers.",
        registers: [this.registry],
    });
    private readonly answered = new Counter({
        name: "pomelovalve_requests_answered_total",
        help: "Requests that got their final answer, by route, importance, outcome and reason.",
        labelNames: ["route", "importance", "outcome", "reason"],
        registers: [this.registry],
    });
    private readonly durations = new Histogram({
        name: "pomelovalve_request_duration_seconds",
        help: "Time from reading a request to its outcome, by importance.",
        labelNames: ["importance"],
        buckets: durationBucketsSeconds,
        registers: [this.registry],
    });
    private readonly retries = new Counter({
        name: "pomelovalve_retries_total",
        help: "Retries that this node has made, by called service.",
        labelNames: ["service"],
        registers: [this.registry],
    });
    /** Called on each retry; benchmarks set it to count retries. */
    onRetry: (() => void) | undefined;
    private readonly refusals = new Map<string, number>();

    constructor(readStats: () => ScrapedStats) {
        registerGauge(
            this.registry,
            "pomelovalve_in_flight_requests",
            "Requests that the local upstream is running.",
            () => readStats().inFlight,
        );
        registerGauge(
            this.registry,
            "pomelovalve_concurrency_limit",
            "Requests that the local upstream may run at once.",
            () => readStats().limit,
        );
        registerGauge(
            this.registry,
            "pomelovalve_queued_requests",
            "Requests that wait for a slot.",
            () => readStats().queued,
        );
        registerGauge(
            this.registry,
            "pomelovalve_key_records",
            "Idempotency keys that this node keeps a record of.",
            () => readStats().keyRecords,
        );
        registerGauge(
            this.registry,
            "pomelovalve_policy_version",
            "Policy version in force, 0 for none.",
            () => readStats().policyVersion,
        );
        this.registerAdmissionProbabilities(() => readStats().shares);
        registerGauge(
            this.registry,
            "pomelovalve_resident_memory_bytes",
            "Resident memory of the node.",
            () => process.memoryUsage.rss(),
        );
        registerGauge(this.registry, "pomelovalve_processor_seconds", "Processor time that the node has used.", () => {
            const usage = process.cpuUsage();
            return (usage.user + usage.system) / 1e6;
        });
    }

    countAccepted(): void {
        this.accepted.inc();
    }

    countServed(served: ServedRequest): void {
        const { route, importance, outcome, reason } = served;
        this.answered.inc({ route, importance, outcome, reason });
        this.durations.observe({ importance }, served.durationSeconds);
        if (reason !== "answered") {
            this.refusals.set(reason, (this.refusals.get(reason) ?? 0) + 1);
        }
    }

    countRetry(service: string): void {
        this.retries.inc({ service });
        this.onRetry?.();
    }

    /** Returns the number of requests by `reason`, without those that were "answered". */
    listRefusals(): Readonly<Record<string, number>> {
        return Object.fromEntries(this.refusals);
    }

    private registerAdmissionProbabilities(readAdmissionProbabilities: () => readonly RouteAdmission[]): void {
        new Gauge({
            name: "pomelovalve_admitted_share",
            help: "Share of a route's new actions that is let in; routes that are let in wholly are left out.",
            labelNames: ["route"],
            registers: [this.registry],
            collect() {
                this.reset();
                readAdmissionProbabilities().forEach(({ route, share }) => this.set({ route }, share));
            },
        });
    }
}
