/** Clients: a connection on which requests are written at any time and answers are matched in their order. */
import { Buffer } from "node:buffer";
import { connect } from "node:net";

export class Connection {
    /** Requests in the order of their sending, with `answer` once it is complete. */
    requests = [];
    isClosed = false;
    /** Whether an answer has announced that the connection closes behind it. */
    isClosing = false;
    unexpectedBytes = 0;
    #bytes = Buffer.alloc(0);
    #answered = 0;
    #waiters = new Set();

    constructor({ host, port }, { onAnswer = () => undefined } = {}) {
        this.onAnswer = onAnswer;
        this.socket = connect(port, host);
        this.socket.setNoDelay(true);
        this.socket.on("data", bytes => {
            this.#bytes = Buffer.concat([this.#bytes, bytes]);
            this.#parse();
        });
        this.socket.on("error", error => {
            this.error = error.code;
        });
        this.socket.once("close", () => {
            this.isClosed = true;
            this.closedAtMs = Date.now();
            this.#wake();
        });
    }

    /** Writes a request; the body, if any, may follow later with `head` only. */
    send({ method = "GET", host, path, id, deadlineMs, headers = {}, body }) {
        const lines = [
            `${method} ${path} HTTP/1.1`,
            `Host: ${host}`,
            `Request-Id: ${id}`,
            `Deadline-Ms: ${deadlineMs}`,
            ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
            ...body === undefined ? [] : [`Content-Length: ${body.length}`],
        ];
        this.socket.write(`${lines.join("\r\n")}\r\n\r\n${body ?? ""}`);
        const request = { id, method, path, sentAtMs: Date.now(), answer: undefined };
        this.requests.push(request);
        return request;
    }

    /** Waits until all requests are answered or the connection is closed; at most `ms`. */
    async awaitEnd(ms, setTimer) {
        const untilMs = Date.now() + ms;
        while (!this.isClosed && this.#answered < this.requests.length && Date.now() < untilMs) {
            await new Promise(resolve => {
                const timer = setTimer(resolve, Math.max(1, untilMs - Date.now()));
                this.#waiters.add(() => {
                    timer.close?.();
                    resolve();
                });
            });
        }
    }

    close() {
        this.socket.destroy();
    }

    #wake() {
        const waiters = [...this.#waiters];
        this.#waiters.clear();
        waiters.forEach(wake => wake());
    }

    #parse() {
        for (;;) {
            const headEnd = this.#bytes.indexOf("\r\n\r\n");
            if (headEnd < 0) {
                return;
            }
            const [statusLine, ...lines] = this.#bytes.subarray(0, headEnd).toString("latin1").split("\r\n");
            const status = Number(statusLine.split(" ")[1]);
            const headers = Object.fromEntries(lines.map(line => {
                const colon = line.indexOf(":");
                return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
            }));
            const bodyStart = headEnd + 4;
            const request = this.requests[this.#answered];
            if (request) {
                request.head ??= { status, headers, atMs: Date.now() };
            }
            this.isClosing ||= (headers.connection ?? "").toLowerCase() === "close";
            const length = Number(headers["content-length"] ?? 0);
            if (status >= 100 && status < 200) {
                this.#bytes = this.#bytes.subarray(bodyStart);
                continue;
            }
            if (this.#bytes.length < bodyStart + length) {
                return;
            }
            const body = this.#bytes.subarray(bodyStart, bodyStart + length).toString("latin1");
            this.#bytes = this.#bytes.subarray(bodyStart + length);
            if (!request) {
                this.unexpectedBytes += bodyStart + length;
                continue;
            }
            request.answer = { status, headers, body, atMs: Date.now() };
            this.#answered += 1;
            this.onAnswer(request);
            this.#wake();
        }
    }
}

/** Sends one request over a connection of its own; resolves to its answer, or to undefined if there is none. */
export const callOnce = (address, request, ms = request.deadlineMs + 500) =>
    new Promise(resolve => {
        const connection = new Connection(address, { onAnswer: ({ answer }) => finish(answer) });
        const sent = connection.send(request);
        const finish = answer => {
            connection.close();
            resolve({ ...sent, answer, endedAtMs: Date.now() });
        };
        connection.socket.once("close", () => finish(sent.answer));
        connection.socket.setTimeout(ms, () => finish(undefined));
    });
