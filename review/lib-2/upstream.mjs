/** Stand-in for an upstream: serves requests as the protocol page says, and writes its entry into the store. */
import { createServer } from "node:http";
import { clearInterval, clearTimeout, setInterval, setTimeout } from "node:timers";

const heartbeatsToLapse = 3;

export class Upstream {
    id = "";
    #sequence = 0;
    #lastId = 0;
    #active = 0;
    #server;
    #sockets = new Set();
    #timers = [];

    /** `handle` answers a request that the upstream runs. */
    constructor(machine, { store, heartbeatMs, slots, handle, runs }) {
        this.machine = machine;
        this.options = { store, heartbeatMs, slots, handle, runs };
    }

    get active() {
        return this.#active;
    }

    /** Starts an incarnation with a new id; its heartbeats begin at once or after `firstBeatMs`. */
    async start(firstBeatMs = 0) {
        const { host, ports, name } = this.machine;
        this.#lastId += 1;
        this.id = `i-${name.slice(-2)}${this.#lastId}${Math.random().toString(16).slice(2, 8)}`;
        this.#sequence = 0;
        this.#active = 0;
        this.bornAtMs = Date.now();
        this.#server = createServer(
            { keepAliveTimeout: 10_000 },
            (request, response) => this.#serve(request, response),
        );
        this.#server.on("connection", socket => {
            this.#sockets.add(socket);
            socket.once("close", () => this.#sockets.delete(socket));
        });
        await new Promise(resolve => this.#server.listen(ports.app, host, resolve));
        this.#timers = [
            setTimeout(() => {
                this.beat();
                this.#timers.push(setInterval(() => this.beat(), this.options.heartbeatMs));
            }, firstBeatMs),
        ];
    }

    /** Writes the entry, unless the store is down. */
    beat(state = "ready") {
        const { store, heartbeatMs, slots } = this.options;
        if (store.mode !== "serving") {
            return;
        }
        const { host, ports, service, zone } = this.machine;
        this.#sequence += 1;
        store.write(`servers/${this.id}`, {
            address: `${host}:${ports.app}`,
            born: this.bornAtMs,
            info: { service, version: "v1", zone, slots },
            status: { state, seq: this.#sequence, warmup_left: "0ms" },
        }, heartbeatsToLapse * heartbeatMs);
    }

    /** Ends at once: all connections are reset and new ones refused. */
    async crash() {
        this.#timers.forEach(timer => {
            clearTimeout(timer);
            clearInterval(timer);
        });
        this.#sockets.forEach(socket => socket.resetAndDestroy());
        await new Promise(resolve => this.#server.close(resolve));
    }

    async crashFor(downMs) {
        if (this.isDown) {
            return;
        }
        this.isDown = true;
        await this.crash();
        await new Promise(resolve => setTimeout(resolve, downMs));
        await this.start();
        this.isDown = false;
    }

    async stop() {
        if (!this.isDown) {
            await this.crash();
        }
    }

    #serve(request, response) {
        const { headers } = request;
        if (request.url === "/health") {
            response.writeHead(200, { "Instance-Id": this.id }).end();
            return;
        }
        if (headers["request-id"] === undefined) {
            request.resume();
            response.writeHead(400, { "Not-Executed": "1" }).end();
            return;
        }
        if (headers["target-instance"] !== undefined && headers["target-instance"] !== this.id) {
            request.resume();
            response.writeHead(421, { "Instance-Id": this.id }).end();
            return;
        }
        if (this.#active >= this.options.slots) {
            request.resume();
            response.writeHead(503, { "Not-Executed": "1", "Request-Id": headers["request-id"] }).end();
            return;
        }
        this.#active += 1;
        const { id } = this;
        response.once("close", () => {
            this.#active -= id === this.id ? 1 : 0;
        });
        const run = { id: headers["request-id"], upstream: this, atMs: Date.now(), headers, url: request.url };
        this.options.runs.push(run);
        this.options.handle(run, request, response);
    }
}

/** Answers a request with a status and a body, signed and with its id. */
export const answer = (request, response, status, body) => {
    response.writeHead(status, {
        "Request-Id": request.headers["request-id"],
        "Server-Signature": "3e1b.07.5a2.600.0.c9f2a4d1",
        "Content-Length": String(body.length),
    });
    response.end(body);
};

/** Reads the body of a request. */
export const readBody = async request => {
    const chunks = [];
    for await (const chunk of request) {
        chunks.push(chunk);
    }
    return chunks.join("");
};
