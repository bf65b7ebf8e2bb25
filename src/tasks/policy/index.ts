/** Policy in force at a node, and the lookup of its routes. */
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

/** Keeps the policy version in force; adopts only higher versions on the same digest chain. */
export class PolicyTask {
    private current: PolicyVersion | undefined;
    private currentSource = "";
    private currentText: string | undefined;
    private lastAdoptionMs = 0;
    private routers = new Map<string, ServiceRouter>();
    private readonly auditedIds = new Set<string>();

    constructor(private readonly bus: MessageBus, private readonly readWallMs: () => number) {
        bus.subscribe("policyLogRead", message => this.readLog(message.text, message.source));
    }

    /** Version in force; undefined before the first adoption. */
    get inForce(): PolicyVersion | undefined {
        return this.current;
    }

    /** Text of the policy log from which the version in force was read; other nodes may request it. */
    get logText(): string | undefined {
        return this.currentText;
    }

    /** Source of the version in force: "platform", or "peer" and its endpoint; empty before the first adoption. */
    get source(): string {
        return this.currentSource;
    }

    /** Wall-clock time of the last adoption in milliseconds since 1970. */
    get adoptionTimeMs(): number {
        return this.lastAdoptionMs;
    }

    /** Finds the route of a request; undefined if the policy has no such service or route. */
    findRoute(service: string, method: string, path: string): RouteMatch | undefined {
        const servicePolicy = this.current?.policy.services[service];
        if (!servicePolicy) {
            return undefined;
        }
        const queryStart = path.indexOf("?");
        const plainPath = queryStart < 0 ? path : path.slice(0, queryStart);
        const router = this.getRouter(service, servicePolicy);
        const found = router.find(method as RoutePolicy["method"], plainPath)
            ?? (method === "HEAD" ? router.find("GET", plainPath) : undefined);
        return found ? { service, servicePolicy, route: found.store as RoutePolicy } : undefined;
    }

    /** Returns the router of a service; creates it on the first call to the service. */
    private getRouter(service: string, servicePolicy: ServicePolicy): ServiceRouter {
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
            const [firstFault] = parsed.faults;
            this.recordAuditOnce(`unreadable ${firstFault!.path}`, "policy-unreadable", {
                source,
                path: firstFault!.path,
                fault: firstFault!.message,
            });
            return;
        }
        const chain = deriveChain(parsed.value, this.current);
        chain.rejected.forEach(({ entry, reason }) =>
            this.recordAuditOnce(`rejected ${entry.version} ${entry.digest} ${entry.time}`, "policy-entry-rejected", {
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
        const sameVersion = versions.find(version => version.version === this.current?.version);
        if (sameVersion && sameVersion.digest !== this.current!.digest) {
            this.recordAuditOnce(`fork ${sameVersion.digest}`, "policy-fork", {
                version: sameVersion.version,
                digest: sameVersion.digest,
            });
        }
    }

    private adopt(version: PolicyVersion, source: string): void {
        this.current = version;
        this.currentSource = source;
        this.lastAdoptionMs = this.readWallMs();
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

    private recordAuditOnce(id: string, event: string, fields: Readonly<Record<string, string | number>>): void {
        if (this.auditedIds.has(id)) {
            return;
        }
        this.auditedIds.add(id);
        this.recordAudit(event, fields);
    }

    private recordAudit(event: string, fields: Readonly<Record<string, string | number>>): void {
        this.bus.publish({ kind: "audited", audit: { event, fields } });
    }
}
