/** Stand-in for the platform's store: key-value items over HTTP that can only be read, with watches and eras. */
import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import { clearTimeout, setInterval, setTimeout } from "node:timers";

const pageItems = 500;
const checkMs = 100;

export class Store {
    mode = "serving";
    #items = new Map();
    #events = [];
    #revision = 10;
    #oldestRevision = 0;
    #era = 1;
    #copy;
    #watches = new Set();
    #server = createServer((request, response) => this.#serve(request, response));

    async open(host, port) {
        await new Promise(resolve => this.#server.listen(port, host, resolve));
        this.address = `${host}:${this.#server.address().port}`;
        setInterval(() => this.#removeLapsed(), checkMs).unref();
    }

    close() {
        this.#server.close();
        this.#server.closeAllConnections();
    }

    /** Writes an item; with a lease it is removed unless it is written again in time. */
    write(key, value, leaseMs) {
        this.#revision += 1;
        const former = this.#items.get(key);
        const text = JSON.stringify(value);
        const item = {
            key,
            value: Buffer.from(text).toString("base64"),
            revision: this.#revision,
            created_rev: former?.created_rev ?? this.#revision,
            lease: leaseMs === undefined ? 0 : 1,
        };
        this.#items.set(key, { ...item, leaseMs, writtenAtMs: Date.now() });
        this.#publish(item);
        return Date.now();
    }

    remove(key) {
        if (this.#items.delete(key)) {
            this.#revision += 1;
            this.#publish({ key, revision: this.#revision, tombstone: true });
        }
    }

    list(prefix) {
        return [...this.#items.keys()].filter(key => key.startsWith(prefix));
    }

    /** Refuses all calls; entries lapse meanwhile. */
    goDown(how) {
        this.mode = how;
        [...this.#watches].forEach(end => end(undefined));
        this.#server.closeAllConnections();
    }

    goUp() {
        this.mode = "serving";
    }

    keepCopy() {
        this.#copy = { items: new Map(this.#items), revision: this.#revision };
    }

    /** Goes back to the copy, in the next era. */
    restoreCopy() {
        this.#items = new Map([...this.#copy.items].map(([key, item]) => [key, { ...item, writtenAtMs: Date.now() }]));
        this.#revision = this.#copy.revision;
        this.#events = [];
        this.#oldestRevision = this.#revision;
        this.#era += 1;
    }

    #removeLapsed() {
        const nowMs = Date.now();
        [...this.#items.values()].forEach(({ key, leaseMs, writtenAtMs }) => {
            if (leaseMs !== undefined && nowMs - writtenAtMs > leaseMs) {
                this.remove(key);
            }
        });
    }

    #publish(event) {
        this.#events.push(event);
        [...this.#watches].forEach(end => end(event));
    }

    #serve(request, response) {
        const { pathname, searchParams } = new URL(request.url, "http://store");
        if (this.mode === "silent") {
            return;
        }
        if (this.mode === "busy") {
            this.#answer(response, 503, {});
            return;
        }
        if (pathname === "/api/kv-key") {
            this.#serveKey(response, searchParams.get("key"));
            return;
        }
        if (pathname === "/api/kv-range") {
            this.#serveRange(response, searchParams);
            return;
        }
        this.#serveWatch(response, searchParams);
    }

    #serveKey(response, key) {
        const item = this.#items.get(key);
        this.#answer(response, item ? 200 : 404, { ...item && createItem(item), current_rev: this.#revision });
    }

    #serveRange(response, searchParams) {
        const [prefix, after] = [searchParams.get("prefix") ?? "", searchParams.get("after") ?? ""];
        const keys = [...this.#items.keys()].filter(key => key.startsWith(prefix) && key > after).sort();
        this.#answer(response, 200, {
            items: keys.slice(0, pageItems).map(key => createItem(this.#items.get(key))),
            more_pages: keys.length > pageItems,
            current_rev: this.#revision,
        });
    }

    #serveWatch(response, searchParams) {
        const prefix = searchParams.get("prefix") ?? "";
        const after = Number(searchParams.get("after"));
        if (after < this.#oldestRevision || after > this.#revision) {
            this.#answer(response, 410, {});
            return;
        }
        const answer = () => {
            const events = this.#events.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
            this.#answer(response, 200, { events, current_rev: this.#revision });
        };
        if (this.#events.some(({ key, revision }) => revision > after && key.startsWith(prefix))) {
            answer();
            return;
        }
        const end = event => {
            if (event && !event.key.startsWith(prefix)) {
                return;
            }
            clearTimeout(timer);
            this.#watches.delete(end);
            if (this.mode === "serving") {
                answer();
            }
        };
        const timer = setTimeout(() => end({ key: prefix }), Number(searchParams.get("wait_ms")));
        this.#watches.add(end);
        response.once("close", () => {
            clearTimeout(timer);
            this.#watches.delete(end);
        });
    }

    #answer(response, status, body) {
        response.writeHead(status, { "Content-Type": "application/json", "Store-Era": String(this.#era) });
        response.end(JSON.stringify(body));
    }
}

const createItem = ({ key, value, revision, created_rev, lease }) => ({ key, value, revision, created_rev, lease });
