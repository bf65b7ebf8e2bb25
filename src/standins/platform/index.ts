/** Stand-in of the platform's read-and-watch service. */
import { type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { readText, sendJson, serveHttp } from "../_lib/serveHttp";

interface StoredValue {
    readonly revision: number;
    readonly text: string;
}

interface Waiter {
    readonly after: number;
    readonly finish: (value: StoredValue | undefined) => void;
}

/** Faults that can be switched on. */
interface PlatformFaults {
    readonly down: boolean;
    /** Serves the values as they were when this was switched on. */
    readonly stale: boolean;
    readonly slowMs: number;
    /** How long a write to the instance list stays unseen. */
    readonly instancesLagMs: number;
}

const initialMode: PlatformFaults = { down: false, stale: false, slowMs: 0, instancesLagMs: 0 };
const instancesKey = "instances";

/** Owns the values, the waiting watches and the count of reads. */
export class PlatformStandIn {
    private readonly values = new Map<string, StoredValue>();
    private staleValues: ReadonlyMap<string, StoredValue> | undefined;
    private readonly waiters = new Map<string, Set<Waiter>>();
    private mode = initialMode;
    private revision = 0;
    private reads = 0;
    private server: Server | undefined;

    async start(port: number): Promise<void> {
        this.server = await serveHttp(port, (request, response) => void this.handle(request, response));
    }

    stop(): void {
        this.server?.closeAllConnections();
        this.server?.close();
    }

    /** Writes a value, as the operators' own pipeline does. */
    writeValue(key: string, text: string): void {
        const lagMs = key === instancesKey ? this.mode.instancesLagMs : 0;
        if (lagMs > 0) {
            setTimeout(() => this.recordValue(key, text), lagMs);
            return;
        }
        this.recordValue(key, text);
    }

    /** Switches faults on or off. */
    updateFaults(change: Partial<PlatformFaults>): void {
        this.mode = { ...this.mode, ...change };
        this.staleValues = this.mode.stale ? this.staleValues ?? new Map(this.values) : undefined;
        if (this.mode.down) {
            this.server?.closeAllConnections();
        }
    }

    private recordValue(key: string, text: string): void {
        this.revision += 1;
        const value = { revision: this.revision, text };
        this.values.set(key, value);
        if (!this.mode.stale) {
            const waiting = this.waiters.get(key) ?? new Set<Waiter>();
            this.waiters.delete(key);
            waiting.forEach(waiter => waiter.finish(value));
        }
    }

    private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const url = new URL(request.url!, "http://platform");
        if (url.pathname.startsWith("/standin/")) {
            await this.handleSwitch(url, request, response);
            return;
        }
        if (this.mode.down) {
            response.destroy();
            return;
        }
        this.reads += 1;
        if (this.mode.slowMs > 0) {
            await new Promise(resolve => setTimeout(resolve, this.mode.slowMs));
        }
        this.handleRead(url, response);
    }

    private handleRead(url: URL, response: ServerResponse): void {
        const key = decodeURIComponent(url.pathname.slice("/v1/values/".length));
        const after = Number(url.searchParams.get("after") ?? 0);
        const waitMs = Number(url.searchParams.get("waitMs") ?? 0);
        const value = (this.staleValues ?? this.values).get(key);
        if (value && value.revision > after) {
            this.sendValue(response, value);
            return;
        }
        if (waitMs === 0) {
            sendJson(response, value ? 304 : 404, {});
            return;
        }
        this.addWaiter(key, after, waitMs, response);
    }

    private addWaiter(key: string, after: number, waitMs: number, response: ServerResponse): void {
        const waiting = this.waiters.get(key) ?? new Set<Waiter>();
        this.waiters.set(key, waiting);
        const waiter: Waiter = {
            after,
            finish: value => {
                clearTimeout(timeout);
                waiting.delete(waiter);
                if (value) {
                    this.sendValue(response, value);
                    return;
                }
                response.writeHead(304);
                response.end();
            },
        };
        const timeout = setTimeout(() => waiter.finish(undefined), waitMs);
        waiting.add(waiter);
        response.once("close", () => {
            clearTimeout(timeout);
            waiting.delete(waiter);
        });
    }

    private sendValue(response: ServerResponse, value: StoredValue): void {
        const bytes = Buffer.byteLength(value.text);
        response.writeHead(200, {
            "content-type": "application/json",
            "content-length": bytes,
            "x-revision": String(value.revision),
        });
        response.end(value.text);
    }

    private async handleSwitch(url: URL, request: IncomingMessage, response: ServerResponse): Promise<void> {
        if (url.pathname === "/standin/reads") {
            sendJson(response, 200, { reads: this.reads });
            return;
        }
        const text = await readText(request);
        if (url.pathname === "/standin/mode") {
            this.updateFaults(JSON.parse(text) as Partial<PlatformFaults>);
        }
        else {
            this.writeValue(decodeURIComponent(url.pathname.slice("/standin/values/".length)), text);
        }
        sendJson(response, 200, { revision: this.revision });
    }
}
