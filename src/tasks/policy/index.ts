/** The policy in force at a node, and the routes that it declares. */
import createRouter from "find-my-way";
import { deriveChain } from "../../policy/deriveChain";
import { parsePolicyLog } from "../../policy/parsePolicyLog";
import { type PolicyVersion, type RoutePolicy, type ServicePolicy } from "../../policy/types";
import { type MessageBus } from "../messages";
import { type RouteMatch } from "../types";

type ServiceRouter = ReturnType<typeof createRouter>;

const createServiceRouter = (routes: readonly RoutePolicy[]): ServiceRouter => {
    const router = createRouter();
    routes.forEach(route => router.on(route.method, route.path, () => undefined, route));
    return router;
};

/** Owns the version in force; adopts only higher versions on the same digest chain. */
export class PolicyTask {
    private current: PolicyVersion | undefined;
    private currentSource = "";
    private currentText: string | undefined;
    private adoptedAtMs = 0;
    private routers = new Map<string, ServiceRouter>();
    private readonly reported = new Set<string>();

    constructor(private readonly bus: MessageBus, private readonly readWallMs: () => number) {
        bus.subscribe("policyLogRead", message => this.readLog(message.text, message.source));
    }

    /** The version in force, or undefined before the first one. */
    get inForce(): PolicyVersion | undefined {
        return this.current;
    }

    /** Text of the log that the version in force was read from, for other nodes. */
    get logText(): string | undefined {
        return this.currentText;
    }

    get source(): string {
        return this.currentSource;
    }

    /** Time of day of the last adoption, in milliseconds since 1970. */
    get adoptionTimeMs(): number {
        return this.adoptedAtMs;
    }

    /** Finds the route of a request; undefined when the policy has no such service or route. */
    findRoute(service: string, method: string, path: string): RouteMatch | undefined {
        const servicePolicy = this.current?.policy.services[service];
        if (!servicePolicy) {
            return undefined;
        }
        const queryStart = path.indexOf("?");
        const plainPath = queryStart < 0 ? path : path.slice(0, queryStart);
        const router = this.openRouter(service, servicePolicy);
        const found = router.find(method as RoutePolicy["method"], plainPath)
            ?? (method === "HEAD" ? router.find("GET", plainPath) : undefined);
        return found ? { service, servicePolicy, route: found.store as RoutePolicy } : undefined;
    }

    /** Returns the router of a service; it is made when the first call to the service comes. */
    private openRouter(service: string, servicePolicy: ServicePolicy): ServiceRouter {
        const existing = this.routers.get(service);
        if (existing) {
            return existing;
        }
        const router = createServiceRouter(servicePolicy.routes);
        this.routers.set(service, router);
        return router;
    }

    private readLog(text: string, source: string): void {
        const parsed = parsePolicyLog(text, this.current);
        if (!parsed.ok) {
            const [first] = parsed.faults;
            this.recordOnce(`unreadable ${first!.path}`, "policy-unreadable", {
                source,
                path: first!.path,
                fault: first!.message,
            });
            return;
        }
        const chain = deriveChain(parsed.value, this.current);
        chain.rejected.forEach(({ entry, reason }) =>
            this.recordOnce(`rejected ${entry.version} ${entry.digest} ${entry.time}`, "policy-entry-rejected", {
                version: entry.version,
                base: entry.base,
                author: entry.author,
                reason,
            })
        );
        if (this.adoptLatest(chain.versions, source)) {
            this.currentText = text;
        }
    }

    private adoptLatest(versions: readonly PolicyVersion[], source: string): boolean {
        const latest = versions[versions.length - 1]!;
        if (this.current && latest.version <= this.current.version) {
            this.recordFork(versions);
            return false;
        }
        const oldest = versions[0]!;
        const sameVersion = versions.find(version => version.version === this.current?.version);
        const isForked = this.current !== undefined && oldest.version <= this.current.version
            && sameVersion?.digest !== this.current.digest;
        if (isForked) {
            this.recordFork(versions);
            return false;
        }
        this.adopt(latest, source);
        return true;
    }

    private recordFork(versions: readonly PolicyVersion[]): void {
        const same = versions.find(version => version.version === this.current?.version);
        if (same && same.digest !== this.current!.digest) {
            this.recordOnce(`fork ${same.digest}`, "policy-fork", { version: same.version, digest: same.digest });
        }
    }

    private adopt(version: PolicyVersion, source: string): void {
        this.current = version;
        this.currentSource = source;
        this.adoptedAtMs = this.readWallMs();
        this.routers = new Map();
        this.bus.publish({ kind: "policyAdopted", version, source });
        this.recordAudit("policy-adopted", {
            version: version.version,
            digest: version.digest,
            author: version.author,
            reason: version.reason,
            source,
        });
    }

    private recordOnce(identity: string, event: string, fields: Readonly<Record<string, string | number>>): void {
        if (this.reported.has(identity)) {
            return;
        }
        this.reported.add(identity);
        this.recordAudit(event, fields);
    }

    private recordAudit(event: string, fields: Readonly<Record<string, string | number>>): void {
        this.bus.publish({ kind: "audited", audit: { event, fields } });
    }
}
