// Tracks whether the host has loaded a configuration and the list of servers. Until then it serves no requests.

/** The part of a view that is observed. */
export interface ObservedView {
  routes: () => unknown
  registry: { version: number }
  onChange: (listener: () => void) => void
}

export interface InitialView {
  isLoaded: () => boolean
  /** Calls back once when the view is loaded, or when the timeout expires. */
  onceLoaded: (milliseconds: number, callBack: () => void) => void
}

/** Creates the tracker of a view. `onWaiting` is called for each caller that has to wait. */
export function createInitialView (view: ObservedView, onWaiting: () => void): InitialView {
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
      onWaiting()
    }
  }
}
