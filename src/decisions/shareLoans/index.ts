/** Terms on which the owner of a share lends it, as they are sent to the borrower. */
export interface LoanTerms {
    /** Stamp of the borrower's clock from one of its answers, and its incarnation; the loan ends a time after the stamp. */
    readonly ticketMs: number;
    readonly incarnation: string;
    /** Rises with each message of the owner, so that a late message doesn't undo a newer one. */
    readonly serial: number;
    readonly share: number;
    /** Whether the share is lent for the first time since the start of its owner. */
    readonly isFirst: boolean;
}

/** What the answer of a possible borrower tells of its clock and its life. */
export interface LoanTicket {
    readonly ticketMs: number;
    readonly incarnation: string;
}

interface KnownTicket extends LoanTicket {
    readonly receivedAtMs: number;
}

/** Time for which a share is lent after the ticket that the loan refers to, in milliseconds. */
export const loanMs = 900;

/**
 * Loans of the share of all quotas that one node owns. The share is lent to one borrower at a time. Another one gets it after
 * the borrower has confirmed its return, or after the loan has ended on every clock.
 */
export class ShareLoans {
    private readonly tickets = new Map<string, KnownTicket>();
    private currentBorrower: string | undefined;
    private lentUntilMs: number;
    private serial = 0;
    private hasLent = false;

    /** A loan of the owner's former life may run for a time after its start. */
    constructor(startedAtMs: number) {
        this.lentUntilMs = startedAtMs + loanMs;
    }

    /** Returns who has the share or may still have it. */
    findBorrower(nowMs: number): string | undefined {
        return nowMs < this.lentUntilMs ? this.currentBorrower : undefined;
    }

    canLend(borrower: string, nowMs: number): boolean {
        const isFree = this.currentBorrower === borrower || nowMs >= this.lentUntilMs;
        return isFree && this.hasTicket(borrower, nowMs);
    }

    /** Tells whether a borrower has answered so recently that a loan to it would not be over at once. */
    hasTicket(borrower: string, nowMs: number): boolean {
        const ticket = this.tickets.get(borrower);
        return !!ticket && nowMs < ticket.receivedAtMs + loanMs;
    }

    recordTicket(borrower: string, { ticketMs, incarnation }: LoanTicket, nowMs: number): void {
        this.tickets.forEach(({ receivedAtMs }, host) => nowMs < receivedAtMs + loanMs || this.tickets.delete(host));
        this.tickets.set(borrower, { ticketMs, incarnation, receivedAtMs: nowMs });
    }

    /** Lends the share or extends its loan; lends nothing if another borrower may still have it. */
    createLoan(borrower: string, share: number, nowMs: number): LoanTerms {
        const ticket = this.tickets.get(borrower);
        if (!ticket || !this.canLend(borrower, nowMs)) {
            return this.createEmptyTerms();
        }
        const { ticketMs, incarnation, receivedAtMs } = ticket;
        const isFirst = !this.hasLent;
        this.serial += 1;
        this.hasLent = true;
        this.currentBorrower = borrower;
        this.lentUntilMs = Math.max(this.lentUntilMs, receivedAtMs + loanMs);
        return { ticketMs, incarnation, serial: this.serial, share, isFirst };
    }

    /** Asks the borrower for the share. */
    createReclaim(): LoanTerms {
        this.serial += 1;
        return this.createEmptyTerms();
    }

    /** Records that the borrower has given the share back after the latest call of `createReclaim`. */
    recordReturn(): void {
        this.lentUntilMs = -Infinity;
    }

    private createEmptyTerms(): LoanTerms {
        return { ticketMs: 0, incarnation: "", serial: this.serial, share: 0, isFirst: false };
    }
}
