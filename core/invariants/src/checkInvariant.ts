// Runtime checks of invariants. A violation throws in tests and benchmarks. The daemon counts and logs it and
// continues, because terminating a host would affect the guests that it serves.

/** The checked invariants; docs/PROOFS.md has a row for each. */
export enum Invariant {
  MeasuringWithinBudget = 'measuring-within-budget',
  AnswerWholeAndOwn = 'answer-whole-and-own',
  NotRunIsTrue = 'not-run-is-true',
  RunAtMostOnce = 'run-at-most-once',
  NoWorkForLeavingServer = 'no-work-for-leaving-server',
  GracefulStop = 'graceful-stop',
  BundleNeverOlder = 'bundle-never-older'
}

export type ViolationHandler = (invariant: Invariant, detail: string) => void

const violations = new Map<Invariant, number>(Object.values(Invariant).map(invariant => [invariant, 0]))

const throwViolation: ViolationHandler = (invariant, detail) => {
  throw new Error(`invariant ${invariant} violated: ${detail}`)
}

let handleViolation: ViolationHandler = throwViolation

/** Sets the handler of violations. The default throws. */
export function setViolationHandler (handler: ViolationHandler = throwViolation): void {
  handleViolation = handler
}

export interface CheckInvariantOptions {
  invariant: Invariant
  holds: boolean
  /** Called only on a violation, since invariants are checked often on the request path. */
  detail: () => string
}

/** Counts a violation and calls the handler if the invariant does not hold. */
export function checkInvariant ({ invariant, holds, detail }: CheckInvariantOptions): void {
  if (holds) return
  violations.set(invariant, (violations.get(invariant) ?? 0) + 1)
  handleViolation(invariant, detail())
}

/** Returns the number of violations of each invariant since the process started. */
export function readViolationCounts (): Record<string, number> {
  return Object.fromEntries(violations)
}
