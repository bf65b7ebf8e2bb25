/** Writes what happens in a session on a virtual clock, one line of key=value pairs for each event. */
import logfmt from "logfmt";
import { findHeader } from "../tasks/_lib/headers";
import { type AuditEntry } from "../tasks/audit";
import { type ReceivedAnswer } from "./fakeExchange";
import { type UpstreamRun } from "./fakeUpstream";

type Fields = Readonly<Record<string, string | number | boolean | undefined>>;

const shownIdDigits = 4;

/** Collects the lines of a session. */
export class SessionLog {
    private readonly lines: string[] = [];

    constructor(private readonly readNowMs: () => number) {}

    /** Writes an event. */
    write(event: string, fields: Fields): void {
        const known = Object.entries(fields).filter(([, value]) => value !== undefined);
        this.lines.push(logfmt.stringify({ at: this.readNowMs().toFixed(1), event, ...Object.fromEntries(known) }));
    }

    recordRun(run: UpstreamRun): void {
        this.write("run", {
            endpoint: run.endpoint,
            route: `${run.route.method} ${run.route.pathPrefix}`,
            key: run.key?.slice(-shownIdDigits),
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

    /** Renders all lines. */
    render(): string {
        return `${this.lines.join("\n")}\n`;
    }
}
