// Tells when a host knows a configuration and the servers for the first time. Until then it serves nobody.

/** What is followed of a view. */
export interface FollowedView {
  routes: () => unknown
  registry: { version: number }
  onChange: (listener: () => void) => void
}

export interface FirstView {
  isKnown: () => boolean
  /** Calls back once the view is known, or after the time given. */
  whenKnown: (milliseconds: number, callBack: () => void) => void
}

/** Follows a view. */
export function createFirstView (view: FollowedView): FirstView {
  const waiting = new Set<() => void>()
  const isKnown = (): boolean => view.routes() !== undefined && view.registry.version > 0
  view.onChange(() => { if (isKnown()) [...waiting].forEach(resume => resume()) })
  return {
    isKnown,
    whenKnown: (milliseconds, callBack) => {
      const resume = (): void => {
        clearTimeout(timer)
        waiting.delete(resume)
        callBack()
      }
      const timer = setTimeout(resume, milliseconds)
      waiting.add(resume)
    }
  }
}
