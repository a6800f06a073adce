/** The operator's config of the cases, like that of a small deployment. */
final class Site {
    private Site() {}

    /** Returns a config with one route to an engine and one to a plain service. */
    static String config(int engineSlots, int engineConnections) {
        return """
        {"version":7,"routes":[
          {"name":"r-draft","hostname":"site.example","prefix":"/draft/","type":"streaming",
           "timeout_ms":15000,"target_latency_ms":1000,"priority":1,"backend":"models",
           "max_attempts":2,"public":false,"sticky":true,"resumable":false,"gap_target_ms":1000},
          {"name":"r-look","hostname":"site.example","prefix":"/look/","type":"idempotent",
           "timeout_ms":4000,"target_latency_ms":1000,"priority":2,"backend":"desk",
           "max_attempts":2,"public":false,"sticky":false,"resumable":false},
          {"name":"r-book","hostname":"site.example","prefix":"/book/","type":"non_idempotent",
           "timeout_ms":4000,"target_latency_ms":1000,"priority":2,"backend":"desk",
           "max_attempts":1,"public":false,"sticky":false,"resumable":false}],
         "backends":[
          {"name":"models","health_path":"/healthz","max_connections":%d,"protocol":"h1",
           "tls":false,"engine":{"slots":%d,"kv_capacity":232000,"kv_bytes":327680,
            "adapter_slots":8,"weights_mb":74700.0,"loads_per_s":2.8,
            "models":[{"name":"m0","weights_mb":72700.0,"load_s":2.1,"adapters":3000,
             "adapter_mb":66.0}]}},
          {"name":"desk","health_path":"/healthz","max_connections":100,"protocol":"h1",
           "tls":false}],
         "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
          "idle_timeout_ms":15000},
         "tenants":[{"name":"t1","api_keys":["key-of-t1"],"priority":1,"unit":"token_count",
          "uncached_tokens":200,"rate_per_s":0,"burst":0}]}
        """
                .formatted(engineConnections, engineSlots);
    }
}
