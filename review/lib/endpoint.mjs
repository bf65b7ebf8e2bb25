/** Stand-in for an application endpoint: checks, echoes and signs as PROTOCOL.md describes it. */
import { createServer } from "node:http";
import { clearTimeout, setTimeout } from "node:timers";

export class Endpoint {
    /** Requests that began to run: id, service, time and headers. */
    runs = [];
    isLeaving = false;
    #server;
    #sockets = new Set();

    /** `work` returns the milliseconds that a request takes; `answer` may replace the usual answer. */
    constructor(
        { id, service, host, port, work = () => 20, answer, onRun = () => undefined, onStop = () => undefined },
    ) {
        Object.assign(this, { id, service, host, port, work, answer, onRun, onStop });
        this.#server = createServer(
            { keepAliveTimeout: 10_000 },
            (request, response) => this.#handle(request, response),
        );
        this.#server.on("connection", socket => {
            this.#sockets.add(socket);
            socket.once("close", () => this.#sockets.delete(socket));
        });
    }

    open() {
        return new Promise((resolve, reject) => {
            this.#server.once("error", reject);
            this.#server.listen(this.port, this.host, resolve);
        });
    }

    /** Ends the endpoint: its connections and the requests on them are gone. */
    close() {
        this.#server.close();
        this.#sockets.forEach(socket => socket.destroy());
    }

    /** Crashes the endpoint: it resets its connections and accepts no more until it is opened again. */
    crash() {
        this.#server.close();
        this.#sockets.forEach(socket => socket.resetAndDestroy());
    }

    #handle(request, response) {
        const id = request.headers["request-id"];
        if (request.url === "/health") {
            response.writeHead(this.isLeaving ? 503 : 200, { "instance-id": this.id });
            response.end();
            return;
        }
        if (id === undefined) {
            response.writeHead(400, { "not-executed": "1", "content-length": 0 });
            response.end();
            return;
        }
        const target = request.headers["target-instance"];
        if (target !== undefined && target !== this.id) {
            response.writeHead(421, { "request-id": id, "not-executed": "1", "content-length": 0 });
            response.end();
            return;
        }
        const run = { id, endpoint: this.id, service: this.service, atMs: Date.now(), path: request.url };
        this.runs.push(run);
        this.onRun(run);
        const timer = setTimeout(() => this.#answer(request, response, id), this.work(request));
        response.once("close", () => {
            clearTimeout(timer);
            if (!response.writableFinished) {
                this.onStop(run, Date.now());
            }
        });
        request.resume();
    }

    #answer(request, response, id) {
        if (this.answer?.(request, response, id)) {
            return;
        }
        const body = `${this.service} ${this.id} ${id}`;
        response.writeHead(200, {
            "request-id": id,
            "server-signature": `sig.${this.id}.${id}`,
            "content-length": body.length,
            ...this.isLeaving ? { connection: "close", "server-leaving": "1" } : {},
        });
        response.end(body);
    }
}
