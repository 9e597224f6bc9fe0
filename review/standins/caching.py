"""An engine that keeps the parts of prompts that it has read, by the text under which the node has it keep them, and
knows whose request made each."""

import common


class CachingEngine(common.platform_engine.Engine):
    def __init__(self, name, case, **options):
        super().__init__(name, **options)
        self.case = case
        self.cache = {}  # by text, model and part: the tenant whose request made it
        self.uses = []   # when, the tenant that used a part, the part, its maker, the request

    def run(self, call, body, identity, common_headers):
        prefix = call.headers.get("X-Vanilladyke-Prompt-Prefix")
        if prefix:
            tenant = call.headers.get("X-Vanilladyke-Tenant")
            salt = call.headers.get("X-Vanilladyke-Cache-Salt") or ""
            model = call.headers.get("X-Vanilladyke-Model")
            with self.lock:
                unbroken = True  # a part is used only if all parts before it are kept too
                for part in (each.split(":")[0] for each in prefix.split(",")):
                    maker = self.cache.get((salt, model, part))
                    unbroken = unbroken and maker is not None
                    if unbroken:
                        self.uses.append((self.case.at(), tenant, part, maker, identity))
                    else:
                        self.cache[(salt, model, part)] = tenant
            self.case.note(f"{self.name} runs {identity} of {tenant} under text {salt!r}, parts {prefix}")
        super().run(call, body, identity, common_headers)
