/** Log of a test session on a virtual clock, with one line of key=value pairs per event, for golden files. */
import logfmt from "logfmt";
import { findHeader } from "../tasks/_lib/headers";
import { type AuditEntry } from "../tasks/audit";
import { type ReceivedAnswer } from "./fakeExchange";
import { type UpstreamRun } from "./fakeUpstream";

type Fields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Number of trailing hex digits of a key that a line shows. */
const keySuffixLength = 4;

/** Collects the lines of a session; `at` is the time of an event in milliseconds. */
export class SessionLog {
    private readonly lines: string[] = [];

    constructor(private readonly readNowMs: () => number) {}

    /** Adds a line for an event; fields without a value are omitted. */
    write(event: string, fields: Fields): void {
        const definedFields = Object.entries(fields).filter(([, value]) => value !== undefined);
        this.lines.push(
            logfmt.stringify({ at: this.readNowMs().toFixed(1), event, ...Object.fromEntries(definedFields) }),
        );
    }

    recordRun(run: UpstreamRun): void {
        this.write("run", {
            endpoint: run.endpoint,
            route: `${run.route.method} ${run.route.pathPrefix}`,
            key: run.key?.slice(-keySuffixLength),
        });
    }

    recordAudit(entry: AuditEntry): void {
        this.write(entry.event, { endpoint: entry.endpoint, ...entry.fields });
    }

    recordAnswer(name: string, answer: ReceivedAnswer): void {
        const headers = answer.head?.rawHeaders ?? [];
        this.write("answer", {
            request: name,
            status: answer.head?.status,
            outcome: findHeader(headers, "pomelovalve-outcome"),
            retryAfter: findHeader(headers, "retry-after"),
            leaving: findHeader(headers, "pomelovalve-leaving"),
            whole: answer.isComplete,
        });
    }

    /** Returns all lines as one text that ends with a line break. */
    render(): string {
        return `${this.lines.join("\n")}\n`;
    }
}
