import { type Organisation, type Route } from "../../routing/types";
import { type CallRequest } from "../../tasks/_lib/callRequest";
import { type Problem } from "../../tasks/_lib/problem";
import { type Organisations } from "../organisations";
import { describeKeyProblem, describeQuotaProblem, orphanedCallProblem } from "./problems";

/** Organisation of one request, and the token that the request holds of its quota. */
export class CallerOrganisation {
    private organisation: Organisation | undefined;
    private hasToken = false;

    constructor(private readonly organisations: Organisations) {}

    /** Name of the organisation; undefined without keys, for public routes and for nested requests. */
    get name(): string | undefined {
        return this.organisation?.name;
    }

    /** Rank of a direct request. */
    readRank(route: Route): number {
        return this.organisation?.rank ?? route.rank;
    }

    /**
     * Identifies the sender of a direct request; returns a problem if it is not known. `hasParentId` tells that the
     * request has the id of a nested one.
     */
    identify({ rawHeaders }: CallRequest, { isPublic }: Route, hasParentId: boolean): Problem | undefined {
        const identity = this.organisations.keys.identify(rawHeaders, isPublic);
        if (identity.kind === "accepted") {
            this.organisation = identity.organisation;
            return undefined;
        }
        return identity.kind === "missing" && hasParentId ? orphanedCallProblem : describeKeyProblem(identity);
    }

    /** Takes a token for the request; calls back at once or later, with a problem if there is none. */
    takeToken(onTaken: (problem: Problem | undefined) => void): void {
        if (!this.organisation) {
            onTaken(undefined);
            return;
        }
        this.organisations.tokens.take(
            this.organisation,
            verdict => {
                this.hasToken = verdict.kind === "granted";
                onTaken(verdict.kind === "granted" ? undefined : describeQuotaProblem(verdict));
            },
        );
    }

    /** Gives back the token of a request that is not sent to an upstream, if the request has one. */
    releaseToken(): void {
        if (this.organisation && this.hasToken) {
            this.hasToken = false;
            this.organisations.tokens.release(this.organisation);
        }
    }
}
