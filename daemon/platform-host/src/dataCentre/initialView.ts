// Tells when a host knows a configuration and the servers for the first time. Until then it serves nobody.

/** What is followed of a view. */
export interface ObservedView {
  routes: () => unknown
  registry: { version: number }
  onChange: (listener: () => void) => void
}

export interface InitialView {
  isLoaded: () => boolean
  /** Calls back once the view is known, or after the time given. */
  onceLoaded: (milliseconds: number, callBack: () => void) => void
}

/** Follows a view. */
export function createInitialView (view: ObservedView): InitialView {
  const waiting = new Set<() => void>()
  const isLoaded = (): boolean => view.routes() !== undefined && view.registry.version > 0
  view.onChange(() => { if (isLoaded()) [...waiting].forEach(resume => resume()) })
  return {
    isLoaded,
    onceLoaded: (milliseconds, callBack) => {
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
