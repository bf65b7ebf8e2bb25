/** Adopts policy versions and finds the routes of the version in force. */
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

/** Keeps the policy version in force; adopts only higher versions, and none from a log that has forked from it. */
export class PolicyTask {
    private currentVersion: PolicyVersion | undefined;
    private currentSource = "";
    private currentLogText: string | undefined;
    private lastAdoptionMs = 0;
    private routers = new Map<string, ServiceRouter>();
    private readonly auditedIds = new Set<string>();

    constructor(private readonly bus: MessageBus, private readonly readWallMs: () => number) {
        bus.subscribe("policyLogRead", message => this.receiveLog(message.text, message.source));
    }

    /** Policy version in force; undefined before the first adoption. */
    get inForce(): PolicyVersion | undefined {
        return this.currentVersion;
    }

    /** Text of the policy log that contained the version in force; other nodes may read it. */
    get logText(): string | undefined {
        return this.currentLogText;
    }

    /** Source of the version in force: "platform", or "peer" and its endpoint; empty before the first adoption. */
    get source(): string {
        return this.currentSource;
    }

    /** Wall clock time of the last adoption, in milliseconds since 1970; 0 before the first adoption. */
    get adoptionTimeMs(): number {
        return this.lastAdoptionMs;
    }

    /** Finds the route of a request; HEAD falls back to the route for GET. Returns undefined if none matches. */
    findRoute(service: string, method: string, path: string): RouteMatch | undefined {
        const servicePolicy = this.currentVersion?.policy.services[service];
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

    /** Returns the router of a service; creates it when the version in force is first used for that service. */
    private getRouter(service: string, servicePolicy: ServicePolicy): ServiceRouter {
        const existing = this.routers.get(service);
        if (existing) {
            return existing;
        }
        const router = createServiceRouter(servicePolicy.routes);
        this.routers.set(service, router);
        return router;
    }

    private receiveLog(text: string, source: string): void {
        const parsed = parsePolicyLog(text, this.currentVersion);
        if (!parsed.ok) {
            const [firstFault] = parsed.faults;
            this.recordAuditOnce(`unreadable ${firstFault!.path}`, "policy-unreadable", {
                source,
                path: firstFault!.path,
                fault: firstFault!.message,
            });
            return;
        }
        const chain = deriveChain(parsed.value, this.currentVersion);
        chain.rejected.forEach(({ entry, reason }) =>
            this.recordAuditOnce(`rejected ${entry.version} ${entry.digest} ${entry.time}`, "policy-entry-rejected", {
                version: entry.version,
                base: entry.base,
                author: entry.author,
                reason,
            })
        );
        if (this.adoptLatest(chain.versions, source)) {
            this.currentLogText = text;
        }
    }

    /** Adopts the last version if it is higher than the one in force and does not belong to a fork of the log. */
    private adoptLatest(versions: readonly PolicyVersion[], source: string): boolean {
        const latest = versions[versions.length - 1]!;
        if (this.currentVersion && latest.version <= this.currentVersion.version) {
            this.recordFork(versions);
            return false;
        }
        const oldest = versions[0]!;
        const sameVersion = versions.find(version => version.version === this.currentVersion?.version);
        const isForked = this.currentVersion !== undefined && oldest.version <= this.currentVersion.version
            && sameVersion?.digest !== this.currentVersion.digest;
        if (isForked) {
            this.recordFork(versions);
            return false;
        }
        this.adopt(latest, source);
        return true;
    }

    /** Records a fork in the audit trail if the log has a different version of the same number as the one in force. */
    private recordFork(versions: readonly PolicyVersion[]): void {
        const sameVersion = versions.find(version => version.version === this.currentVersion?.version);
        if (sameVersion && sameVersion.digest !== this.currentVersion!.digest) {
            this.recordAuditOnce(`fork ${sameVersion.digest}`, "policy-fork", {
                version: sameVersion.version,
                digest: sameVersion.digest,
            });
        }
    }

    private adopt(version: PolicyVersion, source: string): void {
        this.currentVersion = version;
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
